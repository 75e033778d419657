//! Followers get shares and changes from their relays, and from other routers when those fail.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

use nix::sys::signal::Signal;
use wisteriapass_bench::link::LinkFaults;
use wisteriapass_bench::standin::users_platform::StoreFault;

use crate::support::{
    FOLLOWERS, KEY, RELAYS, RelayFleet, Request, Router, TestPlatform, configuration, has_witness,
    is_relay, wait_for, wait_for_final_refusals, write_count,
};

/// Time in which a follower hears of what its relay knows; several update requests.
const UPDATE_TIME: Duration = Duration::from_secs(1);

/// Key of the record of shares.
const SHARE_RECORD: &str = "wisteriapass/shares/0";

/// Pause between two writes of the record by others: shorter than a write takes.
const WRITE_PAUSE: Duration = Duration::from_micros(200);

/// Time in which a follower without a relay begins to join the relays.
const JOIN_TIME: Duration = Duration::from_secs(4);

/// Prompt and maximum output tokens of each request.
const PROMPT: u64 = 90;
const OUTPUT: u64 = 10;
const COST: u64 = PROMPT + OUTPUT;

impl RelayFleet {
    fn run_count(&self) -> u64 {
        self.platform
            .engines
            .iter()
            .map(|t| t.run_count() as u64)
            .sum()
    }

    /// Waits until each follower serves a paid request.
    fn wait_until_served(&self, what: &str) {
        for (i, follower) in self.followers.iter().enumerate() {
            let mut n = 0;
            wait_for(what, || {
                n += 1;
                spend(follower, &format!("{what}-{i}-{n}")) == 200
            });
        }
    }

    /// Waits until each follower accepts a key.
    fn wait_until_accepted(&self, key: &str) {
        for follower in &self.followers {
            let mut n = 0;
            wait_for("acceptance of the new key", || {
                n += 1;
                let request = Request::new(&format!("{key}-{n}"), "/safe/x").with_key(key);
                follower.send(&request).is_some_and(|a| a.status == 200)
            });
        }
    }

    /// Sets faults on the links between all relays and the store.
    fn set_relay_link_faults(&self, faults: LinkFaults) {
        for link in &self.links[..RELAYS] {
            link.set_faults(faults);
        }
    }
}

/// Ends a thread when it goes out of scope, also if the test fails.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends one model request; returns its status, or 0 without a complete answer.
fn spend(router: &Router, id: &str) -> u16 {
    let id = id.replace(' ', "-");
    let request = Request::new(&id, "/draft/x").with_tokens(PROMPT, OUTPUT);
    router.send(&request).map_or(0, |a| a.status)
}

/// Spends until no router serves requests any more, and none does so later.
fn spend_until_refused(routers: &[&Router]) {
    let mut n = 0;
    wait_for_final_refusals(|| {
        n += 1;
        let served = routers
            .iter()
            .filter(|r| spend(r, &format!("z{n}-{}", r.port())) == 200);
        served.count() == 0
    });
}

#[test]
fn a_follower_serves_from_its_relays_share_and_rarely_calls_the_store() {
    let fleet = RelayFleet::start(1_000_000);
    for n in 0..30 {
        for follower in &fleet.followers {
            assert_eq!(spend(follower, &format!("f{n}")), 200);
        }
    }
    for (n, follower) in fleet.followers.iter().enumerate() {
        assert!(!is_relay(
            &fleet.platform.store,
            &format!("r{}", RELAYS + n)
        ));
        assert_eq!(follower.answered_calls("write_shares"), 0);
        assert_eq!(follower.answered_calls("watch_targets"), 0);
        assert_eq!(follower.answered_calls("watch_configuration"), 0);
        assert_eq!(follower.answered_calls("read"), 0);
        assert!(follower.answered_calls("read_shares") <= 2);
    }
}

#[test]
fn changes_reach_followers() {
    let fleet = RelayFleet::start(1_000_000);
    fleet
        .platform
        .configure(&configuration(2, &["other"], 1_000_000));
    fleet.wait_until_accepted("other");
    for follower in &fleet.followers {
        let before = Request::new("before", "/safe/x").with_key(KEY);
        assert_eq!(follower.send(&before).unwrap().status, 401);
    }
    let target = &fleet.platform.plain[0];
    fleet
        .platform
        .store
        .put(&target.entry_key(), target.entry("plain", "draining"));
    for follower in &fleet.followers {
        let mut n = 0;
        wait_for("no requests at the target that left", || {
            let before = target.received_requests().len();
            for _ in 0..6 {
                n += 1;
                follower.send(&Request::new(&format!("w{n}"), "/safe/x").with_key("other"));
            }
            target.received_requests().len() == before
        });
    }
}

#[test]
fn followers_keep_serving_when_their_relays_are_killed() {
    let mut fleet = RelayFleet::start(1_000_000);
    for n in 0..RELAYS {
        fleet.relays[n].signal(Signal::SIGKILL);
        fleet.relays[n].wait();
        fleet.wait_until_served(&format!("served without {} relays", n + 1));
    }
    wait_for("a follower that replaces the relays", || {
        (RELAYS..RELAYS + FOLLOWERS).any(|n| is_relay(&fleet.platform.store, &format!("r{n}")))
    });
    fleet
        .platform
        .configure(&configuration(2, &[KEY, "other"], 1_000_000));
    fleet.wait_until_accepted("other");
}

#[test]
fn followers_keep_serving_when_their_relays_are_suspended() {
    let fleet = RelayFleet::start(1_000_000);
    for relay in &fleet.relays[1..] {
        relay.signal(Signal::SIGSTOP);
    }
    fleet.wait_until_served("served by the remaining relay");
    fleet
        .platform
        .configure(&configuration(2, &[KEY, "other"], 1_000_000));
    fleet.wait_until_accepted("other");
    for relay in &fleet.relays[1..] {
        relay.signal(Signal::SIGCONT);
    }
    fleet.wait_until_served("served after the suspension");
}

#[test]
fn followers_receive_changes_when_only_their_relays_are_cut_off_from_the_store() {
    for faults in [LinkFaults::blackhole(), LinkFaults::closed()] {
        let fleet = RelayFleet::start(1_000_000);
        fleet.set_relay_link_faults(faults);
        fleet
            .platform
            .configure(&configuration(2, &[KEY, "other"], 1_000_000));
        fleet.wait_until_accepted("other");
        fleet.wait_until_served("served while relays are cut off");
    }
}

/// Guards against a router that follows nobody for as long as its attempts to become a relay lose
/// against other writers of the record.
#[test]
fn a_router_that_joins_the_relays_misses_changes_until_it_is_one() {
    let fleet = RelayFleet::start(1_000_000);
    for relay in &fleet.relays {
        relay.signal(Signal::SIGSTOP);
    }
    let store = &fleet.platform.store;
    let record = store.get(SHARE_RECORD).unwrap();
    let is_done = AtomicBool::new(false);
    scope(|threads| {
        threads.spawn(|| {
            while !is_done.load(Ordering::Relaxed) {
                store.put(SHARE_RECORD, record.clone());
                sleep(WRITE_PAUSE);
            }
        });
        let _stop = SetOnDrop(&is_done);
        sleep(JOIN_TIME);
        let next = configuration(2, &[KEY, "other"], 1_000_000);
        fleet.platform.configure(&next);
        fleet.wait_until_accepted("other");
    });
    for relay in &fleet.relays {
        relay.signal(Signal::SIGCONT);
    }
}

#[test]
fn relays_grant_credit_while_the_store_is_unavailable() {
    let fleet = RelayFleet::start(1_000_000);
    fleet.wait_until_served("served before");
    fleet.platform.store.set_fault(StoreFault::Silent);
    for n in 0..20 {
        for follower in &fleet.followers {
            let status = spend(follower, &format!("away-{n}"));
            assert!(status == 200 || status == 503, "{status}");
        }
    }
    fleet.wait_until_served("served while the store is unavailable");
}

#[test]
fn killed_relays_and_followers_lose_little_and_overspend_nothing() {
    let mut fleet = RelayFleet::start(60 * COST);
    for round in 0..3 {
        for n in 0..6 {
            for follower in &fleet.followers {
                spend(follower, &format!("k{round}-{n}"));
            }
        }
        fleet.relays[round].kill_and_restart();
        fleet.followers[round % FOLLOWERS].kill_and_restart();
    }
    let all = fleet.followers.iter().chain(&fleet.relays);
    spend_until_refused(&all.collect::<Vec<_>>());
    assert!(fleet.run_count() <= 60, "{} of 60 ran", fleet.run_count());
    assert!(fleet.run_count() >= 40, "{} of 60 ran", fleet.run_count());
}

#[test]
fn a_stopping_follower_returns_unspent_money() {
    let mut fleet = RelayFleet::start(60 * COST);
    for n in 0..5 {
        fleet.wait_until_served(&format!("served before the stop {n}"));
    }
    for follower in &mut fleet.followers {
        follower.signal(Signal::SIGTERM);
        follower.wait();
    }
    spend_until_refused(&fleet.relays.iter().collect::<Vec<_>>());
    assert!(fleet.run_count() <= 60, "{} of 60 ran", fleet.run_count());
    assert!(fleet.run_count() >= 52, "{} of 60 ran", fleet.run_count());
}

#[test]
fn an_evacuation_reaches_followers_and_relays_cut_off_from_the_store() {
    let platform = TestPlatform::new(1_000_000);
    for (target, domain) in platform.plain.iter().zip(["north", "south"]) {
        let entry = target.entry_in_domain(domain, "plain", "ready", 0);
        platform.store.put(&target.entry_key(), entry);
    }
    let fleet = RelayFleet::start_with(platform);
    let target = &fleet.platform.plain[0];
    wait_for(
        "a relay with a witness, which shows that relays know each other",
        || has_witness(&fleet.platform.store, "r0"),
    );
    // One relay can learn of the evacuation only from another relay.
    fleet.links[0].set_faults(LinkFaults::blackhole());
    fleet.platform.store.put("op/evacuate/north", "{}");
    for router in fleet.relays.iter().chain(&fleet.followers) {
        let mut n = 0;
        wait_for("no requests in the domain", || {
            n += 1;
            let before = target.received_requests().len();
            for i in 0..20 {
                let id = format!("e{}-{n}-{i}", router.port());
                router.send(&Request::new(&id, "/safe/x"));
            }
            target.received_requests().len() == before
        });
    }
}

// Each relay wrote the record itself, which made twelve calls per second and relay, although one
// write can contain the shares of all relays.
#[test]
fn one_write_contains_the_shares_of_all_relays() {
    let fleet = RelayFleet::start(1_000_000);
    let composed = || -> u64 {
        let names = (0..RELAYS).map(|n| format!("r{n}"));
        names
            .map(|name| write_count(&fleet.platform.store, &name))
            .sum()
    };
    let written = || -> u64 {
        let relays = fleet.relays.iter();
        relays.map(|r| r.answered_calls("write_shares")).sum()
    };
    wait_for("shares written by other relays", || composed() > 120);
    let before = (composed(), written());
    wait_for("120 more composed shares", || composed() >= before.0 + 120);
    let (composed_since, calls) = (composed() - before.0, written() - before.1);
    assert!(
        2 * calls <= composed_since,
        "{calls} calls for {composed_since} shares"
    );
}

/// Guards against followers that send to a target whose limit their relays use up.
#[test]
fn followers_learn_from_their_relays_which_targets_are_limited() {
    let fleet = RelayFleet::start(1_000_000);
    let limited = &fleet.platform.plain[0];
    let send = |router: &Router, id: &str| {
        let answer = router.send(&Request::new(id, "/safe/x"));
        answer.map_or(0, |answer| answer.status)
    };
    let has_received = |prefix: &str| {
        let requests = limited.received_requests();
        requests
            .iter()
            .any(|r| r.header("x-attempt-id").starts_with(prefix))
    };
    limited.set_limit(Some("1.5"));
    for (i, relay) in fleet.relays.iter().enumerate() {
        let mut n = 0;
        wait_for("a request at the limited target", || {
            n += 1;
            send(relay, &format!("relay{i}-{n}"));
            has_received(&format!("relay{i}-"))
        });
    }
    sleep(UPDATE_TIME);
    for (i, follower) in fleet.followers.iter().enumerate() {
        for n in 0..50 {
            let status = send(follower, &format!("bound{i}-{n}"));
            assert_eq!(status, 200, "the other target takes what is over the limit");
        }
    }
    assert!(!has_received("bound"));
    limited.set_limit(None);
    // While the other target serves, all requests of a follower may go there: one of two idle targets
    // that seems slightly slower gets none.
    let other = &fleet.platform.plain[1];
    let leaving = other.entry("plain", "draining");
    fleet.platform.store.put(&other.entry_key(), leaving);
    let mut n = 0;
    wait_for("a follower's request at the target without a limit", || {
        n += 1;
        let all = fleet.relays.iter().chain(&fleet.followers);
        for (i, router) in all.enumerate() {
            send(router, &format!("free{i}-{n}"));
        }
        has_received(&format!("free{RELAYS}-"))
    });
}

/// Guards against a relay that serves its own callers by an old configuration for as long as the
/// store turns it away, while all other routers have the new one.
#[test]
fn a_relay_that_the_store_turns_away_keeps_an_old_configuration() {
    for faults in [LinkFaults::closed(), LinkFaults::blackhole()] {
        let fleet = RelayFleet::start(1_000_000);
        fleet.links[0].set_faults(faults);
        fleet
            .platform
            .configure(&configuration(2, &[KEY, "other"], 1_000_000));
        let relay = &fleet.relays[0];
        let mut n = 0;
        wait_for("the new key at the relay", || {
            n += 1;
            let request = Request::new(&format!("other-{n}"), "/safe/x").with_key("other");
            relay.send(&request).is_some_and(|a| a.status == 200)
        });
    }
}

/// Number of bytes of an answer of the store that arrive at once: all of its head, and not its body.
const FIRST_BYTES: usize = 250;

/// Delay of each further byte, in milliseconds. An answer takes a minute, and is never silent.
const BYTE_DELAY_MS: u64 = 100;

/// Waits until the followers know a router that is a relay.
fn wait_for_roster(fleet: &RelayFleet, name: &str) {
    let store = &fleet.platform.store;
    let writes = |n: usize| write_count(store, &format!("r{n}"));
    let before: Vec<u64> = (0..RELAYS).map(writes).collect();
    wait_for("relays that have read of the other one", || {
        (0..RELAYS).all(|n| writes(n) > before[n] + 1)
    });
    let asking = [KEY, name];
    fleet
        .platform
        .configure(&configuration(2, &asking, 1_000_000));
    fleet.wait_until_accepted(name);
}

/// Guards against a follower that asks the store which routers are relays, and hears of no changes
/// for as long as the answer takes.
#[test]
fn a_follower_that_looks_for_relays_misses_changes_meanwhile() {
    let mut fleet = RelayFleet::start(1_000_000);
    let store = &fleet.platform.store;
    let other = Router::start_in_domain("other", store.addr(), "north");
    wait_for("a relay of the other failure domain", || {
        is_relay(store, "other")
    });
    wait_for_roster(&fleet, "other");
    fleet.links[RELAYS].set_faults(LinkFaults::trickling(FIRST_BYTES, BYTE_DELAY_MS));
    for relay in &mut fleet.relays {
        relay.signal(Signal::SIGKILL);
        relay.wait();
    }
    let before = fleet.links[RELAYS].forwarded_bytes();
    wait_for("an answer of the store that takes long", || {
        fleet.links[RELAYS].forwarded_bytes() > before + FIRST_BYTES as u64
    });
    fleet
        .platform
        .configure(&configuration(3, &[KEY, "new"], 1_000_000));
    let mut n = 0;
    wait_for("the new key at the follower", || {
        n += 1;
        let request = Request::new(&format!("new-{n}"), "/safe/x").with_key("new");
        let answer = fleet.followers[0].send(&request);
        answer.is_some_and(|a| a.status == 200)
    });
    drop(other);
}
