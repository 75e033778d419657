//! Routers learn from each other which targets are slow.

use std::thread::{scope, sleep};
use std::time::Duration;

use nix::sys::signal::Signal;
use wisteriapass_bench::standin::users_platform::Behaviour;

use crate::support::{RelayFleet, Request, Router, TestPlatform, wait_for};

/// Engines, of which the first is slow.
const ENGINES: usize = 5;

/// Time after which reports of a dead relay no longer count.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Streams that run at the same time.
const STREAMS: usize = 10;

/// Sends some streams at the same time, through one router.
fn send_streams(router: &Router, series: &str) {
    scope(|threads| {
        for i in 0..STREAMS {
            let request = Request::new(&format!("{series}-{i}"), "/ask/x").with_tokens(90, 40);
            threads.spawn(move || router.send(&request));
        }
    });
}

/// Returns how many targets are slow according to a router's metrics.
fn slow_targets(router: &Router) -> u64 {
    let metrics = router.metrics();
    let is_slow = |l: &&str| l.starts_with("wisteriapass_target_speeds") && l.contains("\"slow\"");
    let value = metrics
        .lines()
        .find(is_slow)
        .and_then(|l| l.rsplit(' ').next());
    value.map_or(0, |n| n.parse::<f64>().unwrap() as u64)
}

// Guards against a follower without traffic that does not learn which targets are slow, also after the
// death of relays, and against slowness that outlives the target's process.
#[test]
fn a_follower_without_traffic_learns_which_target_is_slow() {
    let mut fleet = RelayFleet::start_with(TestPlatform::with_engines(10_000_000, ENGINES));
    let slow_streams = vec![Behaviour::SlowStream(4); 10_000];
    fleet.platform.engines[0].replace_behaviours(&slow_streams);
    let (observer, idle) = (&fleet.followers[0], &fleet.followers[1]);
    let mut n = 0;
    let mut wait_until_known = |what: &str| {
        wait_for(what, || {
            n += 1;
            send_streams(observer, &format!("s{n}"));
            slow_targets(idle) == 1
        });
    };
    wait_until_known("slowness at the follower without traffic");
    assert!(idle.log().contains("Target is slow. target="));
    assert_eq!(slow_targets(observer), 1);
    for relay in &mut fleet.relays[..3] {
        relay.signal(Signal::SIGKILL);
        relay.wait();
    }
    sleep(REPORT_TIME);
    wait_until_known("slowness after the death of relays");
    let engine = &fleet.platform.engines[0];
    engine.clear_behaviours();
    engine.crash();
    wait_for("restart of the slow target", || !engine.is_down());
    fleet.platform.update_engine_entries();
    wait_for("targets that are all usual", || {
        slow_targets(observer) == 0 && slow_targets(idle) == 0
    });
}
