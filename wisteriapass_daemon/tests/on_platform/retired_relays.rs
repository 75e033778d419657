//! Relays that start, or give up their role and take it up again.

use std::io::{Read, Write};
use std::net::TcpStream;

use nix::sys::signal::Signal;
use wisteriapass_bench::link::LinkFaults;

use crate::support::{RELAYS, RelayFleet, Request, Router, TestPlatform, is_relay, wait_for};

/// Prompt and maximum output tokens of each request.
const PROMPT: u64 = 90;
const OUTPUT: u64 = 10;

/// Prepaid total that covers all requests of a test many times.
const PREPAID: u64 = 1_000_000;

/// Delay of each call to the store in both directions, in milliseconds; less than routers wait.
const STORE_DELAY_MS: u64 = 150;

/// Update request of a follower with a name of one letter, that knows nothing.
const UPDATE_CALL: [u8; 12] = [1, b'f', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];

/// Number of requests to the router that became a relay again.
const REQUESTS: usize = 40;

/// Sends one model request; returns its status, or 0 without a complete answer.
fn spend(router: &Router, id: &str) -> u16 {
    let request = Request::new(id, "/draft/x").with_tokens(PROMPT, OUTPUT);
    router.send(&request).map_or(0, |a| a.status)
}

/// Starts one relay more than the fleet needs, and waits until one of the others retires; returns the
/// routers and the position of the retired one.
fn start_surplus(platform: &TestPlatform) -> (Vec<Router>, usize) {
    let store = &platform.store;
    let name = |n: usize| format!("r{n}");
    let start = |n: usize| Router::start_with_store(&name(n), store.addr());
    let mut routers: Vec<Router> = (0..RELAYS).map(start).collect();
    wait_for("all routers of a small fleet as relays", || {
        (0..RELAYS).all(|n| is_relay(store, &name(n)))
    });
    routers.push(Router::start_in_domain(
        &name(RELAYS),
        store.addr(),
        "north",
    ));
    wait_for("a relay of the new failure domain", || {
        is_relay(store, &name(RELAYS))
    });
    let mut retired = None;
    wait_for("the retirement of a surplus relay", || {
        retired = (0..RELAYS).find(|n| !is_relay(store, &name(*n)));
        retired.is_some()
    });
    (routers, retired.unwrap())
}

/// Guards against a relay that gave up its role and takes it up again without the prepaid totals, and
/// refuses every request as if its account had spent them.
#[test]
fn a_relay_that_retired_and_joined_again_refuses_requests_that_the_total_covers() {
    let platform = TestPlatform::new(PREPAID);
    let (mut routers, retired) = start_surplus(&platform);
    let leaving = (0..RELAYS).find(|n| *n != retired).unwrap();
    routers[leaving].signal(Signal::SIGTERM);
    routers[leaving].wait();
    let router = &routers[retired];
    wait_for("the retired relay as a relay again", || {
        is_relay(&platform.store, &format!("r{retired}"))
    });
    let statuses: Vec<u16> = (0..REQUESTS)
        .map(|n| spend(router, &format!("again-{n}")))
        .collect();
    assert_eq!(statuses, [200; REQUESTS]);
}

/// Takes a number of variable length from the front of a message.
fn take_number(message: &mut &[u8]) -> Option<u64> {
    let length = 1 + message.iter().position(|byte| *byte < 0x80)?;
    let (number, rest) = message.split_at(length);
    *message = rest;
    let add = |sum: u64, byte: &u8| sum << 7 | u64::from(byte & 0x7f);
    Some(number.iter().rev().fold(0, add))
}

/// Requests updates as a follower does; returns how many relays the answer lists, if there is one.
fn listed_relays(relay: &Router) -> Option<u64> {
    let mut stream = TcpStream::connect(("127.0.0.1", relay.peer_port())).ok()?;
    write!(
        stream,
        "POST /relay/updates HTTP/1.1\r\nHost: r\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        UPDATE_CALL.len()
    )
    .ok()?;
    stream.write_all(&UPDATE_CALL).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let body = 4 + answer.windows(4).position(|w| w == b"\r\n\r\n")?;
    let mut body = answer
        .starts_with(b"HTTP/1.1 200")
        .then_some(&answer[body..])?;
    let (_age_ms, _is_leaving, _routers) = (
        take_number(&mut body)?,
        take_number(&mut body)?,
        take_number(&mut body)?,
    );
    take_number(&mut body)
}

/// Guards against followers that learn from a relay that has just started that there are no relays, and
/// one router.
#[test]
fn a_relay_that_has_just_started_lists_no_relays() {
    let mut fleet = RelayFleet::start(PREPAID);
    fleet.links[0].set_faults(LinkFaults::delayed(STORE_DELAY_MS));
    let relay = &mut fleet.relays[0];
    relay.signal(Signal::SIGKILL);
    relay.wait();
    relay.spawn();
    let mut listed = None;
    wait_for("an answer to a follower", || {
        listed = listed_relays(relay);
        listed.is_some()
    });
    assert_eq!(listed, Some(RELAYS as u64));
}
