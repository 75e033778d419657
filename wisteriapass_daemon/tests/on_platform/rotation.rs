//! Weak routers of a failure domain stand by once one of them is crowded.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use wisteriapass_bench::standin::users_platform::Behaviour;

use crate::support::{
    OpenStream, RELAYS, Request, Router, TestPlatform, exchange, is_relay, wait_for,
};

/// Failure domain of most routers.
const DOMAIN: &str = "z";

/// Bandwidths in the settings of strong and weak routers, in Mbit/s. A few requests fill the link of
/// a weak one.
const STRONG: f64 = 200.0;
const WEAK: f64 = 1.0;

/// Size of a request's body, in bytes: half a second on a weak router's link.
const BODY: usize = 60 << 10;

/// Time within which an idle connection has to be closed; shorter than the idle timeout of the
/// configuration, which closes it as well.
const IDLE_READ_TIMEOUT: Duration = Duration::from_secs(12);

/// Time for which a dead coordinator's decisions could be lost, if another one did not confirm them.
const WATCH_TIME: Duration = Duration::from_secs(4);

/// Starts routers with these bandwidths in a failure domain, each of which is a relay.
fn start(platform: &TestPlatform, domain: &'static str, bandwidths: &[f64]) -> Vec<Router> {
    let store = platform.store.addr();
    let name = |n| format!("{domain}{n}");
    let routers = bandwidths.iter().enumerate();
    let routers = routers.map(|(n, mbps)| Router::start_with_link(&name(n), store, domain, *mbps));
    let routers: Vec<Router> = routers.collect();
    wait_for("all routers as relays", || {
        (0..routers.len()).all(|n| is_relay(&platform.store, &name(n)))
    });
    routers
}

/// Sends large requests to a router until it stands by.
fn crowd(router: &Router) {
    let body = "x".repeat(BODY);
    let mut n = 0;
    wait_for("standby of the crowded router", || {
        n += 1;
        router.send(&Request::new(&format!("c{n}"), "/safe/x").with_body(&body));
        !router.is_ready()
    });
}

fn ready_count(routers: &[Router]) -> usize {
    routers.iter().filter(|r| r.is_ready()).count()
}

/// Returns whether a router has decided changes for its domain.
fn has_decided(router: &Router) -> bool {
    router.log().contains("part=rotation Decided.")
}

/// Guards against requests that are lost, and connections that stay, at a router that stands by;
/// and against a domain that keeps fewer than half of its routers in rotation.
#[test]
fn a_crowded_weak_router_stands_by_and_ends_its_requests() {
    let platform = TestPlatform::new(1_000_000);
    let routers = start(&platform, DOMAIN, &[STRONG, WEAK, WEAK, WEAK]);
    for engine in &platform.engines {
        engine.push_behaviours(&[Behaviour::SlowStream(45)]);
    }
    let crowded = &routers[1];
    let request = Request::new("stream", "/draft/x").with_tokens(100, 10);
    let stream = OpenStream::begin(crowded, &request);
    wait_for("the stream's start", || {
        let engines = platform.engines.iter();
        engines.map(|t| t.received_requests().len()).sum::<usize>() == 1
    });
    let mut idle = TcpStream::connect(("127.0.0.1", crowded.port())).unwrap();
    idle.set_read_timeout(Some(IDLE_READ_TIMEOUT)).unwrap();
    let kept = Request::new("kept", "/safe/x").text();
    let kept = kept.replace("Connection: close\r\n", "");
    idle.write_all(kept.as_bytes()).unwrap();
    crowd(crowded);
    wait_for("half of the domain in rotation", || {
        ready_count(&routers) == 2
    });
    assert!(routers[0].is_ready());
    let late = crowded.send(&Request::new("late", "/safe/x"));
    assert_eq!(late.map(|a| a.status), Some(200));
    let mut received = Vec::new();
    idle.read_to_end(&mut received).unwrap();
    assert!(received.starts_with(b"HTTP/1.1 200"));
    let answer = stream.receive_rest().answer().unwrap();
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    assert!(!crowded.is_ready());
    let deciding = routers.iter().find(|r| has_decided(r)).unwrap();
    let metrics = deciding.metrics();
    let marks = metrics
        .lines()
        .find(|l| l.starts_with("wisteriapass_rotation_marks_total"));
    assert!(
        marks.is_some_and(|l| l.contains("cause=\"link\"") && l.ends_with(" 1")),
        "{metrics}"
    );
}

/// Guards against callers that come back to a crowded router because the coordinator died, and
/// against routers that stand by although too few others are left.
#[test]
fn standings_outlive_the_coordinator_and_replace_dead_routers() {
    let platform = TestPlatform::new(1_000_000);
    let mut routers = start(&platform, DOMAIN, &[STRONG, STRONG, WEAK, WEAK, WEAK]);
    crowd(&routers[2]);
    wait_for("half of the domain in rotation", || {
        ready_count(&routers) == 3
    });
    let deciding = routers.iter().position(has_decided).unwrap();
    assert!(deciding < 2, "a strong router decides");
    routers[deciding].signal(Signal::SIGKILL);
    routers[deciding].wait();
    let until = Instant::now() + WATCH_TIME;
    while Instant::now() < until {
        assert!(!routers[2].is_ready(), "the crowded router serves");
        sleep(Duration::from_millis(20));
    }
    assert_eq!(ready_count(&routers), 3);
    let other = 1 - deciding;
    routers[other].signal(Signal::SIGKILL);
    routers[other].wait();
    wait_for("all remaining routers in rotation", || {
        ready_count(&routers) == 3
    });
}

/// Guards against followers that are not moved because their relays, which decide, are strong.
#[test]
fn followers_stand_by_as_their_relay_decides() {
    let platform = TestPlatform::new(1_000_000);
    let relays = start(&platform, DOMAIN, &[STRONG; RELAYS]);
    let store = platform.store.addr();
    let follower = |n: usize| Router::start_with_link(&format!("f{n}"), store, DOMAIN, WEAK);
    let followers: Vec<Router> = (0..2).map(follower).collect();
    crowd(&followers[0]);
    wait_for("standby of the other follower", || {
        ready_count(&followers) == 0
    });
    assert_eq!(ready_count(&relays), RELAYS);
    let answer = exchange(followers[0].port(), &Request::new("late", "/safe/x").text());
    assert_eq!(answer.map(|a| a.status), Some(200));
}

/// Guards against a domain that stays in rotation, or out of it, whatever the others say.
#[test]
fn a_domain_is_out_while_the_other_one_consents() {
    let platform = TestPlatform::new(1_000_000);
    let mut other = start(&platform, "north", &[STRONG, STRONG]);
    let routers = start(&platform, DOMAIN, &[STRONG, WEAK, WEAK]);
    crowd(&routers[1]);
    crowd(&routers[2]);
    wait_for("a domain that is out", || ready_count(&routers) == 0);
    assert_eq!(ready_count(&other), 2);
    other[1].signal(Signal::SIGKILL);
    other[1].wait();
    wait_for("the domain's return", || ready_count(&routers) == 2);
    assert!(routers[0].is_ready());
}
