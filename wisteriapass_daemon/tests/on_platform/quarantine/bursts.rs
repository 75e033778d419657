//! Copies of one request that arrive at the same moment, and that end all their targets or none.

use std::cmp::Reverse;
use std::io::Write;
use std::net::TcpStream;
use std::slice;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::Value;
use wisteriapass_bench::standin::users_platform::{
    Behaviour, BreakOff, ReceivedRequest, SimulatedTarget,
};
use wisteriapass_coord::quarantine::Fingerprint;
use wisteriapass_policy::placement::hash_name;
use wisteriapass_policy::rendezvous::rank;

use super::{
    ENGINES, MAX_LATE_COPIES, POLL_INTERVAL, RESTART_DELAY, crashes, crashing_platform, is_poison,
    model_request, poison_arrivals, poisonous_request, routers, status, wait_until_served,
};
use crate::support::{Answer, Request, Router, TestPlatform, exchange, is_relay, wait_for};

/// Names of the routers.
const NAMES: [&str; 3] = ["a", "b", "c"];

/// Number of copies in a burst.
const BURST: usize = 6;

/// Number of bursts behind the one that ends all targets.
const BURSTS: usize = 4;

/// Time from one burst to the next.
const BURST_INTERVAL: Duration = Duration::from_millis(800);

/// Factor by which the streams in progress are slowed down.
const SLOWDOWN: u32 = 20;

/// Time within which a trial that ended early is given back; not a limit of the product.
const GIVE_BACK_LIMIT: Duration = Duration::from_secs(2);

/// Deadline of a trial that times out, in milliseconds.
const TRIAL_MS: u64 = 1_000;

/// Time that a crashing target takes to refuse connections. It is found out meanwhile whether the
/// target died.
const EXIT_DELAY: Duration = Duration::from_millis(5);

/// As [`EXIT_DELAY`], longer than a probe takes.
const LONG_EXIT_DELAY: Duration = Duration::from_millis(100);

/// Time for which callers repeat a request that crashes targets.
const REPEAT_TIME: Duration = Duration::from_secs(6);

/// Pause between two copies of one caller.
const REPEAT_PAUSE: Duration = Duration::from_millis(20);

/// Number of whole answers that earn the retries of a test.
const EARNING_REQUESTS: usize = 12;

/// Body of a harmless request.
const POPULAR: &str = "popular";

fn crashes_on_nothing(_: &ReceivedRequest) -> bool {
    false
}

fn popular_request(id: &str) -> Request {
    model_request(id).with_body(POPULAR)
}

fn set_behaviour(platform: &TestPlatform, behaviour: Behaviour) {
    for engine in &platform.engines {
        engine.replace_behaviours(&[behaviour; 4 * BURST]);
    }
}

fn clear_behaviours(platform: &TestPlatform) {
    let engines = platform.engines.iter();
    engines.for_each(SimulatedTarget::clear_behaviours);
}

fn runs(engine: &SimulatedTarget, body: &str) -> bool {
    let received = engine.received_requests();
    received.iter().any(|r| r.ran && r.body == body)
}

/// Ends all targets at one moment with a request under way at each, which makes it a suspect.
fn make_suspect(platform: &TestPlatform, routers: &[Router], request: &Request) {
    for engine in &platform.engines {
        engine.set_crash_condition(crashes_on_nothing, RESTART_DELAY);
    }
    set_behaviour(platform, Behaviour::SlowStream(SLOWDOWN));
    let mut callers = Vec::new();
    wait_for("the request at all targets", || {
        let n = callers.len();
        let copy = request.clone().with_id(&format!("first-{n}"));
        callers.push(send(&routers[n % routers.len()], copy));
        sleep(POLL_INTERVAL);
        let mut engines = platform.engines.iter();
        engines.all(|engine| runs(engine, &request.body))
    });
    platform.engines.iter().for_each(SimulatedTarget::crash);
    for caller in callers {
        caller.join().unwrap();
    }
    assert_eq!(crashes(platform), ENGINES as u32);
    clear_behaviours(platform);
    wait_until_served(platform, routers);
}

/// Returns a platform and its routers, for which a request is a suspect.
fn fleet_with_suspect(request: &Request) -> (TestPlatform, [Router; 3]) {
    let platform = crashing_platform();
    let routers = routers(&platform, NAMES);
    wait_until_served(&platform, &routers);
    make_suspect(&platform, &routers, request);
    (platform, routers)
}

/// As [`fleet_with_suspect`], with a suspect that crashes each target that runs it.
fn fleet_with_poisonous_suspect() -> (TestPlatform, [Router; 3]) {
    let (platform, routers) = fleet_with_suspect(&poisonous_request("poison"));
    for engine in &platform.engines {
        engine.set_crash_condition(is_poison, RESTART_DELAY);
    }
    (platform, routers)
}

/// Sends a request on a thread of its own.
fn send(router: &Router, request: Request) -> JoinHandle<Option<Answer>> {
    let port = router.port();
    spawn(move || exchange(port, &request.text()))
}

/// Sends copies to all routers at one moment; returns their answers.
fn send_burst(routers: &[Router], burst: usize) -> Vec<Option<Answer>> {
    let copies = (0..BURST).map(|n| {
        let request = poisonous_request(&format!("burst-{burst}-{n}"));
        send(&routers[n % routers.len()], request)
    });
    let copies: Vec<JoinHandle<Option<Answer>>> = copies.collect();
    copies
        .into_iter()
        .map(|copy| copy.join().unwrap())
        .collect()
}

/// Starts callers that repeat the poisonous request at all routers.
fn repeat_poison(routers: &[Router], time: Duration, pause: Duration) -> Vec<JoinHandle<()>> {
    let until = Instant::now() + time;
    let callers = (0..BURST).map(|caller| {
        let port = routers[caller % routers.len()].port();
        spawn(move || {
            for n in 0.. {
                if Instant::now() >= until {
                    return;
                }
                let copy = poisonous_request(&format!("caller-{caller}-{n}"));
                exchange(port, &copy.text());
                sleep(pause);
            }
        })
    });
    callers.collect()
}

fn wait_for_restarts(platform: &TestPlatform) {
    let from = Instant::now();
    while from.elapsed() < BURST_INTERVAL {
        platform.update_engine_entries();
        sleep(POLL_INTERVAL);
    }
}

fn is_refused_as_suspect(answer: &Answer) -> bool {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    answer.status == 503
        && answer.head.contains("retry-after:")
        && body["error"]["reason"] == "suspect"
}

/// Sends copies to the routers until a condition holds; returns the last answer.
fn send_until(routers: &[Router], id: &str, what: &str, holds: impl Fn(&Answer) -> bool) -> Answer {
    let mut n = 0;
    let mut last = None;
    wait_for(what, || {
        n += 1;
        let copy = popular_request(&format!("{id}-{n}"));
        last = routers[n % routers.len()].send(&copy);
        last.as_ref().is_some_and(&holds)
    });
    last.unwrap()
}

fn is_served(answer: &Answer) -> bool {
    answer.status == 200
}

/// Returns how many copies of the harmless request arrived at targets.
fn popular_arrivals(platform: &TestPlatform) -> usize {
    let engines = platform.engines.iter();
    let received = engines.flat_map(SimulatedTarget::received_requests);
    received.filter(|r| r.body == POPULAR).count()
}

fn wait_for_arrival(platform: &TestPlatform, before: usize) {
    wait_for("a copy at a target", || popular_arrivals(platform) > before);
}

// Six copies that ended six targets at one moment counted as one event, and the next six were all
// sent.
#[test]
fn a_request_whose_copies_come_in_bursts_stops_reaching_targets() {
    let (platform, routers) = fleet_with_poisonous_suspect();
    let before = poison_arrivals(&platform);
    let mut statuses = Vec::new();
    for burst in 0..BURSTS {
        let answers = send_burst(&routers, burst);
        statuses.extend(answers.into_iter().map(status));
        wait_for_restarts(&platform);
    }
    let late_copies = poison_arrivals(&platform) - before;
    assert!(
        late_copies <= MAX_LATE_COPIES,
        "{late_copies} arrivals behind the event; answers {statuses:?}"
    );
}

// A trial that is given back before the death of its target is known lets the next copy through.
#[test]
fn a_trial_lasts_until_the_death_of_its_target_is_known() {
    let (platform, routers) = fleet_with_poisonous_suspect();
    for engine in &platform.engines {
        engine.set_exit_delay(EXIT_DELAY);
    }
    let before = poison_arrivals(&platform);
    let callers = repeat_poison(&routers, BURST_INTERVAL, Duration::ZERO);
    callers.into_iter().for_each(|c| c.join().unwrap());
    assert_eq!(poison_arrivals(&platform) - before, 1);
}

// A trial that is given back while its target still resets connections lets the next copy through.
#[test]
fn a_request_stops_reaching_targets_that_are_slow_to_refuse_connections() {
    let (platform, routers) = fleet_with_poisonous_suspect();
    for engine in &platform.engines {
        engine.set_exit_delay(LONG_EXIT_DELAY);
    }
    let before = poison_arrivals(&platform);
    let callers = repeat_poison(&routers, REPEAT_TIME, REPEAT_PAUSE);
    while !callers.iter().all(JoinHandle::is_finished) {
        platform.update_engine_entries();
        sleep(POLL_INTERVAL);
    }
    let late_copies = poison_arrivals(&platform) - before;
    assert!(late_copies <= MAX_LATE_COPIES, "{late_copies} arrivals");
}

// A rack's failure makes suspects of the harmless requests that were under way at all its targets.
#[test]
fn a_harmless_suspect_is_held_back_during_its_trial_and_served_again() {
    let (platform, routers) = fleet_with_suspect(&popular_request("popular"));
    let before = popular_arrivals(&platform);
    set_behaviour(&platform, Behaviour::SlowStream(SLOWDOWN));
    let trial = send(&routers[0], popular_request("trial"));
    wait_for_arrival(&platform, before);
    for router in &routers {
        let answer = router.send(&popular_request(&format!("held-{}", router.port())));
        assert!(answer.is_some_and(|a| is_refused_as_suspect(&a)));
    }
    assert_eq!(popular_arrivals(&platform), before + 1);
    assert_eq!(status(trial.join().unwrap()), 200);
    clear_behaviours(&platform);
    for router in &routers {
        send_until(slice::from_ref(router), "again", "service", is_served);
    }
    let copies = (0..BURST).map(|n| {
        let copy = popular_request(&format!("burst-{n}"));
        send(&routers[n % routers.len()], copy)
    });
    let copies: Vec<JoinHandle<Option<Answer>>> = copies.collect();
    for copy in copies {
        assert_eq!(status(copy.join().unwrap()), 200);
    }
}

// A caller that leaves in the middle of a trial must not hold back all others until its deadline.
#[test]
fn an_abandoned_trial_is_given_back() {
    let (platform, routers) = fleet_with_suspect(&popular_request("popular"));
    let before = popular_arrivals(&platform);
    set_behaviour(&platform, Behaviour::Stall(1));
    let mut caller = TcpStream::connect(("127.0.0.1", routers[0].port())).unwrap();
    caller
        .write_all(popular_request("trial").text().as_bytes())
        .unwrap();
    wait_for_arrival(&platform, before);
    let held_back = routers[1].send(&popular_request("held"));
    assert!(held_back.is_some_and(|a| is_refused_as_suspect(&a)));
    clear_behaviours(&platform);
    drop(caller);
    let from = Instant::now();
    send_until(&routers, "next", "service", is_served);
    assert!(from.elapsed() < GIVE_BACK_LIMIT, "{:?}", from.elapsed());
}

// A target that never answers must not hold back all other copies.
#[test]
fn a_trial_that_times_out_is_given_back() {
    let (platform, routers) = fleet_with_suspect(&popular_request("popular"));
    let before = popular_arrivals(&platform);
    set_behaviour(&platform, Behaviour::Stall(0));
    let trial = popular_request("trial").with_remaining(TRIAL_MS);
    let trial = send(&routers[0], trial);
    wait_for_arrival(&platform, before);
    clear_behaviours(&platform);
    let held_back = routers[1].send(&popular_request("held"));
    assert!(held_back.is_some_and(|a| is_refused_as_suspect(&a)));
    assert_eq!(status(trial.join().unwrap()), 504);
    let from = Instant::now();
    send_until(&routers[1..], "next", "service", is_served);
    assert!(from.elapsed() < GIVE_BACK_LIMIT, "{:?}", from.elapsed());
}

/// Returns the routers in the order in which they are asked for a trial of a request.
fn in_granting_order(routers: [Router; 3], request: &Request) -> Vec<Router> {
    let (path, body) = (&request.path, request.body.as_bytes());
    let fingerprint = Fingerprint::new("POST", "h.example", path, Some("acme"), body);
    let mut ranked: Vec<(Router, &str)> = routers.into_iter().zip(NAMES).collect();
    ranked.sort_by_key(|(_, name)| Reverse(rank(fingerprint.short(), hash_name(name))));
    ranked.into_iter().map(|(router, _)| router).collect()
}

// The relay that grants trials may have died a moment ago.
#[test]
fn the_next_relay_grants_trials_while_the_first_does_not_answer() {
    let (platform, routers) = fleet_with_suspect(&popular_request("popular"));
    let routers = in_granting_order(routers, &popular_request("popular"));
    routers[0].signal(Signal::SIGSTOP);
    let before = popular_arrivals(&platform);
    set_behaviour(&platform, Behaviour::SlowStream(SLOWDOWN));
    let trial = send(&routers[2], popular_request("trial"));
    wait_for_arrival(&platform, before);
    for router in &routers[1..] {
        let answer = router.send(&popular_request(&format!("held-{}", router.port())));
        assert!(answer.is_some_and(|a| is_refused_as_suspect(&a)));
    }
    assert_eq!(popular_arrivals(&platform), before + 1);
    assert_eq!(status(trial.join().unwrap()), 200);
}

// The relay that grants trials may hear of the next trial before it hears of the end of the last one.
#[test]
fn a_trial_whose_connection_broke_at_a_living_target_is_resumed() {
    let popular = Request::new("popular", "/ask/x").with_tokens(20, 10);
    let popular = popular.with_body(POPULAR);
    let (platform, routers) = fleet_with_suspect(&popular);
    let routers = in_granting_order(routers, &popular);
    for n in 0..EARNING_REQUESTS {
        let other = popular.clone().with_id(&format!("earn-{n}"));
        assert_eq!(status(routers[2].send(&other.with_body("other"))), 200);
    }
    let before = popular_arrivals(&platform);
    set_behaviour(&platform, Behaviour::BreakOff(BreakOff::after(2)));
    let trial = send(&routers[2], popular.with_id("trial"));
    wait_for_arrival(&platform, before);
    clear_behaviours(&platform);
    assert_eq!(status(trial.join().unwrap()), 200);
}

// Relays that do not answer must not keep a harmless request from being served.
#[test]
fn a_router_that_reaches_no_relay_sends_one_copy_at_a_time() {
    let (platform, routers) = fleet_with_suspect(&popular_request("popular"));
    assert!(NAMES.iter().all(|name| is_relay(&platform.store, name)));
    let routers = in_granting_order(routers, &popular_request("popular"));
    let (alone, others) = routers.split_last().unwrap();
    others.iter().for_each(|r| r.signal(Signal::SIGSTOP));
    let before = popular_arrivals(&platform);
    set_behaviour(&platform, Behaviour::SlowStream(SLOWDOWN));
    let trial = send(alone, popular_request("trial"));
    wait_for_arrival(&platform, before);
    let held_back = alone.send(&popular_request("held"));
    assert!(held_back.is_some_and(|a| is_refused_as_suspect(&a)));
    assert_eq!(popular_arrivals(&platform), before + 1);
    assert_eq!(status(trial.join().unwrap()), 200);
    clear_behaviours(&platform);
    let next = alone.send(&popular_request("next"));
    assert_eq!(status(next), 200);
}

// A follower knows the relays from the one that it follows.
#[test]
fn followers_share_trials_with_all_routers() {
    let platform = crashing_platform();
    let start = |name: &str| Router::start_with_store(name, platform.store.addr());
    let relays = ["r0", "r1", "r2", "r3", "r4", "r5"].map(|name| (name, start(name)));
    wait_for("relays", || {
        let mut names = relays.iter().map(|(name, _)| name);
        names.all(|name| is_relay(&platform.store, name))
    });
    let followers = ["f0", "f1"].map(start);
    wait_until_served(&platform, &followers);
    make_suspect(&platform, &followers, &popular_request("popular"));
    assert!(!is_relay(&platform.store, "f0") && !is_relay(&platform.store, "f1"));
    let before = popular_arrivals(&platform);
    set_behaviour(&platform, Behaviour::SlowStream(SLOWDOWN));
    let [trial_at, other] = &followers;
    let trial = send(trial_at, popular_request("trial"));
    wait_for_arrival(&platform, before);
    let relays = relays.iter().map(|(_, relay)| relay);
    for router in relays.chain([other]) {
        let answer = router.send(&popular_request(&format!("held-{}", router.port())));
        assert!(answer.is_some_and(|a| is_refused_as_suspect(&a)));
    }
    assert_eq!(popular_arrivals(&platform), before + 1);
    assert_eq!(status(trial.join().unwrap()), 200);
    clear_behaviours(&platform);
    send_until(slice::from_ref(other), "again", "service", is_served);
}
