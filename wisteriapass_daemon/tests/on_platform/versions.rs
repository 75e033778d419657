//! Streams go on only at the software version that began them, and do go on where it serves.

mod followers;
mod roll;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use wisteriapass_bench::standin::users_platform::{Behaviour, SimulatedTarget, StoreFault};

use crate::support::parts::{
    Part, SLOW_STREAMS, begin, begin_and_kill, leave, slow_down, stream, take_up_all,
};
use crate::support::{KEY, OpenStream, Router, TestPlatform, configuration, pieces, wait_for};

/// Prepaid total that suffices for all streams of a test.
const PREPAID: u64 = 1_000_000;

/// Number of streams that are begun together, of which each of two versions gets some.
const STREAMS: usize = 12;

/// Number of times that a version joins, as some routers hear of it at once.
const JOINS: usize = 4;

/// Begins a stream at a version, which its caller leaves.
fn begin_at(router: &Router, version: &str) -> Part {
    let mut n = 0;
    loop {
        n += 1;
        let mut parts = leave(begin(router, &format!("{version}-{n}-"), 1));
        if parts[0].version() == version {
            return parts.remove(0);
        }
    }
}

/// Waits until a router knows that an engine is gone.
fn remove(platform: &TestPlatform, engine: &SimulatedTarget, routers: &[&Router]) {
    let key = engine.entry_key();
    platform.store.remove(&key);
    let id = key.rsplit('/').next().unwrap().to_owned();
    wait_for("the end of the entry", || {
        let gone = format!("Entry gone. target={id}");
        routers.iter().all(|router| router.log().contains(&gone))
    });
}

/// Guards against streams with events of two software versions, over routers too.
#[test]
fn streams_go_on_at_another_software_version() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v1", "v2", "v2"]);
    slow_down(&platform);
    let [mut a, b, c] = ["a", "b", "c"].map(|name| Router::start(name, &platform.store));
    let mut left = leave(begin(&a, "left", STREAMS));
    assert_eq!(take_up_all(&mut left, &[&a, &b, &c]), STREAMS);
    let mut cut = begin_and_kill(&mut a, "cut", STREAMS);
    assert_eq!(take_up_all(&mut cut, &[&b, &c]), STREAMS);
}

/// Guards against a resumption within one answer that goes by load alone.
#[test]
fn a_broken_answer_goes_on_at_another_version() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v1", "v2", "v2"]);
    for engine in platform.engines.iter().step_by(2) {
        engine.push_behaviours(&[Behaviour::BreakAfter(2); SLOW_STREAMS]);
    }
    let router = Router::start("r", &platform.store);
    for n in 0..STREAMS {
        let id = format!("s{n}");
        let answer = router.send(&stream(&id)).unwrap();
        let pieces = pieces(answer.body.as_bytes());
        let part = Part { id, pieces };
        part.assert_one_version();
        assert!(part.is_whole(), "{part:?}");
    }
}

/// Guards against a resumption at another version where no target of the first one is left.
#[test]
fn a_broken_answer_without_another_target_of_its_version_goes_on() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v2"]);
    platform.engines[0].push_behaviours(&[Behaviour::BreakAfter(2); SLOW_STREAMS]);
    let router = Router::start("r", &platform.store);
    let mut n = 0;
    wait_for("a stream that began at the first version", || {
        n += 1;
        let received = router.receive(&stream(&format!("s{n}")));
        let id = format!("s{n}");
        let pieces = pieces(received.text().as_bytes());
        let part = Part { id, pieces };
        part.assert_one_version();
        part.version() == "v1" && received.answer().is_none()
    });
}

#[test]
fn streams_go_on_at_any_router_while_one_version_serves() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v1"]);
    slow_down(&platform);
    let [mut a, b] = ["a", "b"].map(|name| Router::start(name, &platform.store));
    let mut left = leave(begin(&a, "left", STREAMS));
    assert_eq!(take_up_all(&mut left, &[&a, &b]), STREAMS);
    let mut cut = begin_and_kill(&mut a, "cut", STREAMS);
    assert_eq!(take_up_all(&mut cut, &[&b]), STREAMS);
}

/// Guards against a stream whose version has left for good, and is sent to another one.
#[test]
fn a_stream_whose_version_is_gone_goes_on() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v2"]);
    slow_down(&platform);
    let [a, b] = ["a", "b"].map(|name| Router::start(name, &platform.store));
    let part = begin_at(&a, "v1");
    remove(&platform, &platform.engines[0], &[&a, &b]);
    for router in [&a, &b] {
        let answer = router.send(&part.next_request("next")).unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.body.contains("no_same_version"), "{}", answer.body);
        assert!(answer.head.contains("retry-after"), "{}", answer.head);
    }
}

/// Guards against a stream whose version only rests, and is sent to another one.
#[test]
fn a_stream_whose_version_rests_goes_on_at_another() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v2"]);
    slow_down(&platform);
    let router = Router::start("r", &platform.store);
    let mut part = begin_at(&router, "v1");
    let engine = &platform.engines[0];
    engine.replace_behaviours(&[Behaviour::Shed]);
    engine.set_retry_after(Some("2"));
    part.take_up(&router);
    let answer = router.send(&part.next_request("resting")).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("resting"), "{}", answer.body);
    engine.set_retry_after(None);
    wait_for("the end of the rest", || {
        let answer = router.send(&part.next_request("rested"));
        answer.is_some_and(|answer| answer.status == 200)
    });
}

/// Guards against routers that forget which version began a stream that was taken up before.
#[test]
fn a_stream_that_is_taken_up_twice_goes_on_at_another_version() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v1", "v2", "v2"]);
    slow_down(&platform);
    let [mut a, mut b, c] = ["a", "b", "c"].map(|name| Router::start(name, &platform.store));
    let mut parts = begin_and_kill(&mut a, "cut", STREAMS);
    let mut open: Vec<OpenStream> = parts
        .iter()
        .map(|part| OpenStream::begin(&b, &part.next_request(&format!("{}-again", part.id))))
        .collect();
    for stream in &mut open {
        stream.receive_events(1);
    }
    b.signal(Signal::SIGKILL);
    b.wait();
    for (part, stream) in parts.iter_mut().zip(open) {
        let received = stream.receive_rest();
        part.pieces.extend(pieces(received.text().as_bytes()));
        part.assert_one_version();
    }
    assert_eq!(take_up_all(&mut parts, &[&c]), STREAMS);
}

/// Guards against a guess where no router knows which version began a stream.
#[test]
fn a_stream_that_nobody_remembers_goes_on_at_another_version() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v2"]);
    slow_down(&platform);
    let [mut a, mut b] = ["a", "b"].map(|name| Router::start(name, &platform.store));
    let parts = begin_and_kill(&mut a, "cut", STREAMS);
    b.kill_and_restart();
    for part in &parts {
        let answer = b.send(&part.next_request("next")).unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.body.contains("unknown_version"), "{}", answer.body);
    }
}

/// Returns a stream that began at a router of which others know nothing.
fn unknown_part(id: &str) -> Part {
    let text = "id: 1\ndata: 1 v2\n\nid: 2\ndata: 2 v2\n\n";
    Part {
        id: id.into(),
        pieces: pieces(text.as_bytes()),
    }
}

fn assert_unknown_version(router: &Router, id: &str) {
    let answer = router.send(&unknown_part(id).next_request(&format!("{id}-next")));
    let answer = answer.unwrap();
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert!(answer.body.contains("unknown_version"), "{}", answer.body);
}

/// Guards against a router that is cut off from all others, and takes a list that was recent when the cut
/// began for complete: a version may have joined since.
#[test]
fn a_router_cut_off_from_all_takes_its_own_version_for_the_only_one() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v2"]);
    let joining = &platform.engines[1];
    platform.store.remove(&joining.entry_key());
    let [a, mut b] = ["a", "b"].map(|name| Router::start(name, &platform.store));
    wait_for("the other relay", || a.log().contains("Role. role=relay"));
    b.signal(Signal::SIGKILL);
    b.wait();
    platform.store.set_fault(StoreFault::Refusing);
    platform
        .store
        .put(&joining.entry_key(), joining.entry("engines", "ready"));
    assert_unknown_version(&a, "cut-off");
    platform.store.set_fault(StoreFault::None);
    assert_unknown_version(&a, "joined");
}

/// Guards against a router that has not heard of a version yet, and whose peers are dead.
#[test]
fn a_version_that_joins_between_two_watches_is_taken_for_none() {
    for n in 0..JOINS {
        let platform = TestPlatform::with_versions(PREPAID, &["v1", "v2"]);
        let joining = &platform.engines[1];
        platform.store.remove(&joining.entry_key());
        let router = Router::start("r", &platform.store);
        platform
            .store
            .put(&joining.entry_key(), joining.entry("engines", "ready"));
        assert_unknown_version(&router, &format!("s{n}"));
    }
}

/// Guards against routers that take the only version they know for the only one that served.
#[test]
fn a_version_that_ended_while_no_router_ran_is_forgotten() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v2"]);
    slow_down(&platform);
    let mut router = Router::start("r", &platform.store);
    let parts = begin_and_kill(&mut router, "cut", STREAMS);
    platform.store.remove(&platform.engines[0].entry_key());
    router.spawn();
    router.wait_until_ready();
    for part in &parts {
        let answer = router.send(&part.next_request("next")).unwrap();
        assert_eq!(answer.status, 503, "{}", answer.body);
    }
}

#[test]
fn streams_of_the_only_version_go_on_after_all_routers_died() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v1"]);
    slow_down(&platform);
    let mut router = Router::start("r", &platform.store);
    let mut parts = begin_and_kill(&mut router, "cut", STREAMS);
    router.spawn();
    router.wait_until_ready();
    assert_eq!(take_up_all(&mut parts, &[&router]), STREAMS);
}

/// Guards against a stream that is resumed without its origin where two versions may have begun it.
#[test]
fn a_stream_without_a_named_origin_goes_on_at_another_version() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v2"]);
    let router = Router::start("r", &platform.store);
    let request = stream("r").with_headers(&["Last-Event-Id: 2"]);
    let answer = router.send(&request).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("unknown_version"), "{}", answer.body);
}

#[test]
fn a_stream_without_a_named_origin_goes_on_while_one_version_serves() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v1"]);
    let router = Router::start("r", &platform.store);
    let request = stream("r").with_headers(&["Last-Event-Id: 2"]);
    assert_eq!(router.send(&request).unwrap().events(), [3, 4, 5]);
}

/// Guards against a stream that goes on at another service of its route, whose version has the same
/// name.
#[test]
fn a_stream_of_a_split_route_goes_on_at_another_service() {
    let platform = TestPlatform::with_engines(PREPAID, 2);
    for (engine, name) in platform.engines.iter().zip(["first", "second"]) {
        engine.set_event_mark(name);
    }
    platform.move_engine(1, "other");
    let mut split = configuration(2, &[KEY], PREPAID);
    let routes = split["routes"].as_array_mut().unwrap();
    let route = routes.iter_mut().find(|r| r["prefix"] == "/ask/").unwrap();
    route["service"] = Value::Null;
    route["traffic_split"] = json!([
        {"service": "engines", "weight": 1}, {"service": "other", "weight": 1}
    ]);
    platform.configure(&split);
    slow_down(&platform);
    let [mut a, b] = ["a", "b"].map(|name| Router::start(name, &platform.store));
    let mut left = leave(begin(&a, "left", STREAMS));
    assert_eq!(take_up_all(&mut left, &[&a, &b]), STREAMS);
    let mut cut = begin_and_kill(&mut a, "cut", STREAMS);
    assert_eq!(take_up_all(&mut cut, &[&b]), STREAMS);
}
