//! Entries that another writer left among those of the targets, and calls that no router sends.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_bench::standin::users_platform::SimulatedTarget;

use crate::support::{RelayFleet, Request, Router, TestPlatform, wait_for};

/// Prepaid total that covers all requests of a test many times.
const PREPAID: u64 = 1_000_000;

/// Depth of nested values, deeper than any stack of a parser that recurses.
const DEPTH: usize = 200_000;

/// Number of entries that do not fit on one page of the store's answer.
const MORE_THAN_A_PAGE: usize = 620;

/// Returns a valid entry with one field replaced or added.
fn entry_with(field: &str, value: &str) -> String {
    let fields = [
        ("service", "\"plain\""),
        ("address", "\"127.0.0.1:1\""),
        ("zone", "\"z\""),
        ("version", "\"v1\""),
        ("slots", "4"),
        ("state", "\"ready\""),
    ];
    let others = fields.into_iter().filter(|(name, _)| *name != field);
    let all = others.chain([(field, value)]);
    let texts: Vec<String> = all.map(|(name, v)| format!("\"{name}\":{v}")).collect();
    format!("{{{}}}", texts.join(","))
}

/// Returns values of odd entries.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| open.repeat(DEPTH) + "1" + &close.repeat(DEPTH);
    let mut values = vec![
        Vec::new(),
        b"\xff\xfe{".to_vec(),
        b"null".to_vec(),
        b"1e999".to_vec(),
        nested("[", "]").into_bytes(),
        nested("{\"a\":", "}").into_bytes(),
        "[".repeat(DEPTH).into_bytes(),
        entry_with("extra", &nested("[", "]")).into_bytes(),
    ];
    let fields = [
        "slots",
        "cold_remaining_ms",
        "born",
        "address",
        "sequence",
        "version",
        "state",
    ];
    let odd = [
        "1e999",
        "1e308",
        "-1",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "99999999999999999999999999",
        "null",
        "[]",
        "\"127.0.0.1:65536\"",
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:-1\"",
        "\"127.0.0.1:99999999999999999999\"",
        "\"[::1]:\"",
        "\"\\u0000\\r\\n\"",
    ];
    for field in fields {
        values.extend(odd.map(|value| entry_with(field, value).into_bytes()));
    }
    values
}

/// Puts odd entries under keys that are as odd.
fn put_odd_entries(platform: &TestPlatform) {
    let endings = [
        "", " b", "&after=", "#", "?x=1", "%zz", "é", "\r\nX: 1", "\0",
    ];
    for (n, value) in odd_values().into_iter().enumerate() {
        let ending = endings[n % endings.len()];
        let key = format!("servers/odd-{n}{ending}");
        platform.store.put(&key, value);
    }
    for ending in endings {
        let key = format!("servers/{ending}");
        platform.store.put(&key, entry_with("extra", "1"));
    }
}

/// Checks that a router serves, and follows the list to a target that is new.
fn assert_follows(router: &Router, target: &SimulatedTarget, series: &str) {
    let mut n = 0;
    wait_for("a request at the new target", || {
        n += 1;
        let before = target.received_requests().len();
        router.send(&Request::new(&format!("{series}-{n}"), "/safe/x"));
        target.received_requests().len() > before
    });
    assert!(!router.log().contains("panicked"));
}

#[test]
fn an_odd_entry_ends_routers_or_stops_them_from_following_the_list() {
    let fleet = RelayFleet::start(PREPAID);
    put_odd_entries(&fleet.platform);
    let target = SimulatedTarget::start("new").unwrap();
    let entry = target.entry("plain", "ready");
    fleet.platform.store.put(&target.entry_key(), entry);
    for (n, router) in fleet.relays.iter().chain(&fleet.followers).enumerate() {
        assert_follows(router, &target, &format!("r{n}"));
    }
}

#[test]
fn a_router_cannot_start_beside_odd_entries() {
    let platform = TestPlatform::new(PREPAID);
    put_odd_entries(&platform);
    let router = Router::start_with_store("r", platform.store.addr());
    assert_follows(&router, &platform.plain[0], "r");
}

/// Guards against keys at the end of a page that are no part of a valid address.
#[test]
fn a_page_that_ends_with_an_odd_key_is_the_last_one_read() {
    let platform = TestPlatform::new(PREPAID);
    for n in 0..MORE_THAN_A_PAGE {
        let key = format!("servers/!{n:04} b&after=#é\r\n");
        platform.store.put(&key, entry_with("slots", "-1"));
    }
    let router = Router::start_with_store("r", platform.store.addr());
    assert_follows(&router, &platform.plain[0], "r");
}

/// Paths of calls between routers.
const PATHS: [&str; 15] = [
    "/relay/updates",
    "/relay/grant",
    "/relay/carry",
    "/relay/carried",
    "/relay/evacuations",
    "/relay/origin",
    "/relay/origins",
    "/relay/quarantine",
    "/relay/rotation",
    "/relay/rotation/leave",
    "/relay/speeds",
    "/relay/trial",
    "/shares/lend",
    "/witness/inquiry",
    "/witness/report",
];

/// Number of odd calls for each path.
const CALLS: usize = 60;

/// Time after which the answer to an odd call is not awaited any more.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Returns the message of an odd call: random bytes, large numbers, or long lists that end early.
fn odd_message(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let length = rng.random_range(0..200);
    let kind = rng.random_range(0..4);
    let byte = |_| match kind {
        0 => rng.random(),
        1 => 0xff,
        2 => [1, 0xff, 0xff, 0x7f][rng.random_range(0..4)],
        _ => rng.random_range(0..4),
    };
    (0..length).map(byte).collect()
}

/// Sends a call between routers; the answer does not matter.
fn call(router: &Router, path: &str, message: &[u8]) {
    let mut stream = TcpStream::connect(("127.0.0.1", router.peer_port())).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIME)).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: r\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        message.len()
    );
    let sent = stream.write_all(head.as_bytes());
    let sent = sent.and_then(|()| stream.write_all(message));
    if sent.is_ok() {
        let _ = stream.read_to_end(&mut Vec::new());
    }
}

#[test]
fn an_odd_call_of_a_peer_ends_a_router() {
    let fleet = RelayFleet::start(PREPAID);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for path in PATHS {
        for _ in 0..CALLS {
            let message = odd_message(&mut rng);
            call(&fleet.relays[0], path, &message);
            call(&fleet.followers[0], path, &message);
        }
    }
    let target = SimulatedTarget::start("new").unwrap();
    let entry = target.entry("plain", "ready");
    fleet.platform.store.put(&target.entry_key(), entry);
    for router in [&fleet.relays[0], &fleet.followers[0]] {
        assert_follows(router, &target, &format!("p{}", router.port()));
    }
}
