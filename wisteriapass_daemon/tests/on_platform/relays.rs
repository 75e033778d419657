//! Routers that follow relays: served, told and covered by them, and by others when those are gone.

use nix::sys::signal::Signal;
use wisteriapass_bench::link::{Link, LinkFaults};
use wisteriapass_bench::standin::users::StoreFault;

use crate::support::{
    KEY, Request, Router, Scene, configuration, has_witness, is_relay, wait_for, writes_of,
};

/// Routers of a fleet that are relays at the least.
const RELAYS: usize = 6;

/// Routers that follow them.
const FOLLOWERS: usize = 2;

/// Prompt and most output of each request.
const PROMPT: u64 = 90;
const OUTPUT: u64 = 10;
const COST: u64 = PROMPT + OUTPUT;

/// A fleet with relays and followers; each reaches the store by a link of its own.
struct Relayed {
    scene: Scene,
    links: Vec<Link>,
    relays: Vec<Router>,
    followers: Vec<Router>,
}

impl Relayed {
    fn start(prepaid: u64) -> Self {
        Self::start_with(Scene::new(prepaid))
    }

    fn start_with(scene: Scene) -> Self {
        let link = |_| Link::start(scene.store.addr()).unwrap();
        let links: Vec<Link> = (0..RELAYS + FOLLOWERS).map(link).collect();
        let start = |n: usize| Router::ready_at(&format!("r{n}"), links[n].addr());
        let relays: Vec<Router> = (0..RELAYS).map(start).collect();
        wait_for("all of a small fleet are relays", || {
            (0..RELAYS).all(|n| is_relay(&scene.store, &format!("r{n}")))
        });
        let followers = (RELAYS..RELAYS + FOLLOWERS).map(start).collect();
        Self {
            scene,
            links,
            relays,
            followers,
        }
    }

    fn ran(&self) -> u64 {
        self.scene.engines.iter().map(|t| t.runs() as u64).sum()
    }

    /// Waits until each follower serves a request that costs money.
    fn wait_until_served(&self, what: &str) {
        for (i, follower) in self.followers.iter().enumerate() {
            let mut n = 0;
            wait_for(what, || {
                n += 1;
                spend(follower, &format!("{what}-{i}-{n}")) == 200
            });
        }
    }

    /// Waits until each follower takes a key.
    fn wait_until_taken(&self, key: &str) {
        for follower in &self.followers {
            let mut n = 0;
            wait_for("a key that followers take", || {
                n += 1;
                let request = Request::new(&format!("{key}-{n}"), "/safe/x").with_key(key);
                follower.send(&request).is_some_and(|a| a.status == 200)
            });
        }
    }

    fn cut_relays(&self, faults: LinkFaults) {
        for link in &self.links[..RELAYS] {
            link.set_faults(faults);
        }
    }
}

/// Sends one model request; returns its status, 0 without a whole answer.
fn spend(router: &Router, id: &str) -> u16 {
    let id = id.replace(' ', "-");
    let request = Request::new(&id, "/draft/x").with_tokens(PROMPT, OUTPUT);
    router.send(&request).map_or(0, |a| a.status)
}

/// Spends until no router serves any more.
fn spend_rest(routers: &[&Router]) {
    let mut n = 0;
    wait_for("no more is served", || {
        n += 1;
        let served = routers
            .iter()
            .filter(|r| spend(r, &format!("z{n}-{}", r.port())) == 200);
        served.count() == 0
    });
}

#[test]
fn a_follower_serves_from_its_relays_share_and_hardly_calls_the_store() {
    let fleet = Relayed::start(1_000_000);
    for n in 0..30 {
        for follower in &fleet.followers {
            assert_eq!(spend(follower, &format!("f{n}")), 200);
        }
    }
    for (n, follower) in fleet.followers.iter().enumerate() {
        assert!(!is_relay(&fleet.scene.store, &format!("r{}", RELAYS + n)));
        assert_eq!(follower.answered_calls("write_shares"), 0);
        assert_eq!(follower.answered_calls("watch_targets"), 0);
        assert_eq!(follower.answered_calls("watch_configuration"), 0);
        assert_eq!(follower.answered_calls("read"), 0);
        assert!(follower.answered_calls("read_shares") <= 2);
    }
}

#[test]
fn what_changes_reaches_followers() {
    let fleet = Relayed::start(1_000_000);
    fleet
        .scene
        .configure(&configuration(2, &["other"], 1_000_000));
    fleet.wait_until_taken("other");
    for follower in &fleet.followers {
        let before = Request::new("before", "/safe/x").with_key(KEY);
        assert_eq!(follower.send(&before).unwrap().status, 401);
    }
    let target = &fleet.scene.plain[0];
    fleet
        .scene
        .store
        .put(&target.key(), target.entry("plain", "draining"));
    for follower in &fleet.followers {
        let mut n = 0;
        wait_for("no work for the target that left", || {
            let before = target.seen().len();
            for _ in 0..6 {
                n += 1;
                follower.send(&Request::new(&format!("w{n}"), "/safe/x").with_key("other"));
            }
            target.seen().len() == before
        });
    }
}

#[test]
fn followers_go_on_when_their_relays_are_killed() {
    let mut fleet = Relayed::start(1_000_000);
    for n in 0..RELAYS {
        fleet.relays[n].signal(Signal::SIGKILL);
        fleet.relays[n].wait();
        fleet.wait_until_served(&format!("served without {} relays", n + 1));
    }
    wait_for("a follower in their place", || {
        (RELAYS..RELAYS + FOLLOWERS).any(|n| is_relay(&fleet.scene.store, &format!("r{n}")))
    });
    fleet
        .scene
        .configure(&configuration(2, &[KEY, "other"], 1_000_000));
    fleet.wait_until_taken("other");
}

#[test]
fn followers_go_on_when_their_relays_are_suspended() {
    let fleet = Relayed::start(1_000_000);
    for relay in &fleet.relays[1..] {
        relay.signal(Signal::SIGSTOP);
    }
    fleet.wait_until_served("served by the one that is left");
    fleet
        .scene
        .configure(&configuration(2, &[KEY, "other"], 1_000_000));
    fleet.wait_until_taken("other");
    for relay in &fleet.relays[1..] {
        relay.signal(Signal::SIGCONT);
    }
    fleet.wait_until_served("served behind it");
}

#[test]
fn followers_are_told_when_their_relays_are_cut_off_and_they_are_not() {
    for faults in [LinkFaults::silent(), LinkFaults::closed()] {
        let fleet = Relayed::start(1_000_000);
        fleet.cut_relays(faults);
        fleet
            .scene
            .configure(&configuration(2, &[KEY, "other"], 1_000_000));
        fleet.wait_until_taken("other");
        fleet.wait_until_served("served while relays are cut off");
    }
}

#[test]
fn relays_grant_while_the_store_is_away() {
    let fleet = Relayed::start(1_000_000);
    fleet.wait_until_served("served before");
    fleet.scene.store.set_fault(StoreFault::Silent);
    for n in 0..20 {
        for follower in &fleet.followers {
            let status = spend(follower, &format!("away-{n}"));
            assert!(status == 200 || status == 503, "{status}");
        }
    }
    fleet.wait_until_served("served while the store is away");
}

#[test]
fn a_total_holds_over_kills_of_relays_and_followers() {
    let mut fleet = Relayed::start(60 * COST);
    for round in 0..3 {
        for n in 0..6 {
            for follower in &fleet.followers {
                spend(follower, &format!("k{round}-{n}"));
            }
        }
        fleet.relays[round].replace();
        fleet.followers[round % FOLLOWERS].replace();
    }
    let all = fleet.followers.iter().chain(&fleet.relays);
    spend_rest(&all.collect::<Vec<_>>());
    assert!(fleet.ran() <= 60, "{} of 60 ran", fleet.ran());
    assert!(fleet.ran() >= 40, "{} of 60 ran", fleet.ran());
}

#[test]
fn a_follower_that_stops_gives_back_what_it_did_not_spend() {
    let mut fleet = Relayed::start(60 * COST);
    for n in 0..5 {
        fleet.wait_until_served(&format!("served before the stop {n}"));
    }
    for follower in &mut fleet.followers {
        follower.signal(Signal::SIGTERM);
        follower.wait();
    }
    spend_rest(&fleet.relays.iter().collect::<Vec<_>>());
    assert!(fleet.ran() <= 60);
    assert!(fleet.ran() >= 52, "{} of 60 ran", fleet.ran());
}

#[test]
fn an_evacuation_reaches_followers_and_relays_that_the_store_does_not_answer() {
    let scene = Scene::new(1_000_000);
    for (target, domain) in scene.plain.iter().zip(["north", "south"]) {
        let entry = target.entry_in(domain, "plain", "ready", 0);
        scene.store.put(&target.key(), entry);
    }
    let fleet = Relayed::start_with(scene);
    let target = &fleet.scene.plain[0];
    wait_for("relays that know each other", || {
        has_witness(&fleet.scene.store, "r0")
    });
    // One relay hears of it by another one only.
    fleet.links[0].set_faults(LinkFaults::silent());
    fleet.scene.store.put("op/evacuate/north", "{}");
    for router in fleet.relays.iter().chain(&fleet.followers) {
        let mut n = 0;
        wait_for("no work in the domain", || {
            n += 1;
            let before = target.seen().len();
            for i in 0..20 {
                let id = format!("e{}-{n}-{i}", router.port());
                router.send(&Request::new(&id, "/safe/x"));
            }
            target.seen().len() == before
        });
    }
}

// Each relay wrote the record by itself: twelve calls a second and relay, where one write holds all.
#[test]
fn one_write_carries_the_shares_of_all_relays() {
    let fleet = Relayed::start(1_000_000);
    let composed = || -> u64 {
        let names = (0..RELAYS).map(|n| format!("r{n}"));
        names.map(|name| writes_of(&fleet.scene.store, &name)).sum()
    };
    let written = || -> u64 {
        let relays = fleet.relays.iter();
        relays.map(|r| r.answered_calls("write_shares")).sum()
    };
    wait_for("shares that other relays carry", || composed() > 120);
    let before = (composed(), written());
    wait_for("many writes", || composed() >= before.0 + 120);
    let (next, calls) = (composed() - before.0, written() - before.1);
    assert!(2 * calls <= next, "{calls} calls for {next} shares");
}
