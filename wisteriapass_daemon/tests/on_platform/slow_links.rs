//! Configurations on links that take longer for one than a call may be silent.
//!
//! Routes that two configurations had moved went to their old service at 12 of 29 routers, for the
//! rest of the day. The document had grown to 1.1 MB, which a link of 10 Mbit/s carries in 0.9 s.
//! Routers whose watch had more time left than that took it in. The others gave the watch up, read
//! the whole document instead, gave that up as well 0.7 s after they had asked for it, and so on
//! without end. Meanwhile the service counted every call as answered, and each of these routers
//! received 1,040 to 1,280 KB a second, all that its link carries. A line for each call that was given
//! up settled it: neither the service nor the connection was silent, most of the document was there.
//!
//! ```text
//! Call without answer. call=/-/kv-range?prefix=op/config cause=late received=753588 after_ms=700
//! ```

use serde_json::{Value, json};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use wisteriapass_bench::link::{Link, LinkFaults};
use wisteriapass_bench::standin::users::UsersStore;
use wisteriapass_gateway::{Platform, Recorded, Swap};
use wisteriapass_platform::UsersPlatform;

use crate::support::{KEY, Request, Router, Scene, configuration, wait_for};

/// Pace of the link, in bytes a millisecond.
const PACE: u64 = 300;

/// Routes that make a document of about half a megabyte on its way: 1.8 s at the pace above, which
/// is more than the silence that ends a call and less than a watch takes.
const MANY: usize = 1_900;

/// Bytes that only an answer with the large document brings, in less than all of it.
const A_PART: u64 = 100 << 10;

/// A configuration with many routes that nobody asks for.
fn large(version: u64, key: &str) -> Value {
    let mut large = configuration(version, &[key], 10_000);
    let routes = large["routes"].as_array_mut().unwrap();
    let like = routes[0].clone();
    routes.extend((0..MANY).map(|n| {
        let mut route = like.clone();
        route["name"] = json!(format!("more-{n}"));
        route["prefix"] = json!(format!("/more/{n}/"));
        route
    }));
    large
}

/// Asks until a key is taken.
fn wait_until_taken(router: &Router, key: &str) {
    let mut n = 0;
    wait_for("a configuration with that key", || {
        n += 1;
        let request = Request::new(&format!("k{n}"), "/safe/x").with_key(key);
        router.send(&request).is_some_and(|a| a.status == 200)
    });
}

#[test]
fn a_change_comes_over_a_slow_link_behind_a_reset() {
    let scene = Scene::new(10_000);
    let link = Link::start(scene.store.addr()).unwrap();
    let router = Router::ready_at("r", link.addr());
    link.set_faults(LinkFaults::paced(PACE));
    scene.configure(&large(2, "other"));
    link.close_open();
    wait_until_taken(&router, "other");
}

#[test]
fn a_fresh_router_takes_a_large_configuration_in_over_a_slow_link() {
    let scene = Scene::new(10_000);
    scene.configure(&large(2, KEY));
    let link = Link::start(scene.store.addr()).unwrap();
    link.set_faults(LinkFaults::paced(PACE));
    let router = Router::ready_at("r", link.addr());
    wait_until_taken(&router, KEY);
}

#[test]
fn a_connection_that_falls_silent_within_an_answer_is_given_up() {
    let scene = Scene::new(10_000);
    let link = Link::start(scene.store.addr()).unwrap();
    let router = Router::ready_at("r", link.addr());
    link.set_faults(LinkFaults::paced(PACE));
    let before = link.bytes();
    scene.configure(&large(2, "other"));
    wait_for("a part of the answer", || link.bytes() > before + A_PART);
    link.silence_open();
    wait_until_taken(&router, "other");
}

/// Versions that are accepted while a router still takes an earlier one in.
const MEANWHILE: u64 = 8;

/// Documents that a router may move to come to the newest: the one that is under way, the newest,
/// and one to spare. Slow links take a second for one, and three are allowed.
const MOST_DOCUMENTS: u64 = 3;

// A document that takes a second leaves time for others to be accepted meanwhile. Followed version
// by version, each of these takes its second as well, and more of them than an answer may hold are
// thrown away and asked for again.
#[test]
fn versions_accepted_while_one_is_on_its_way_are_passed_over() {
    let scene = Scene::new(10_000);
    scene.configure(&large(2, KEY));
    let link = Link::start(scene.store.addr()).unwrap();
    let router = Router::ready_at("r", link.addr());
    link.set_faults(LinkFaults::paced(PACE));
    let before = link.bytes();
    scene.configure(&large(3, KEY));
    wait_for("a part of the answer", || link.bytes() > before + A_PART);
    for version in 4..4 + MEANWHILE {
        scene.configure(&large(version, "other"));
    }
    wait_until_taken(&router, "other");
    let moved = link.bytes() - before;
    let most = MOST_DOCUMENTS * on_the_wire(&large(3, KEY));
    assert!(moved <= most, "{moved} bytes of at most {most} were moved");
}

/// Returns the bytes of a configuration in an answer of the store, which sends it in base64.
fn on_the_wire(configuration: &Value) -> u64 {
    configuration.to_string().len() as u64 * 4 / 3
}

/// Watches of the configuration, as the metrics call them.
const WATCH: &str = "watch_configuration";

/// Resets in a row.
const RESETS: u64 = 3;

// The watches of 17 of 29 routers broke at once, and 17, 18, 14, 10 and 7 routers received nearly all
// that their links carry in the seconds behind it, though no version had come: each read the document
// of some 0.8 MB that it had in force, and read it again where the link took too long for it.
#[test]
fn a_reset_without_a_change_moves_no_document() {
    let scene = Scene::new(10_000);
    scene.configure(&large(2, KEY));
    let link = Link::start(scene.store.addr()).unwrap();
    let router = Router::ready_at("r", link.addr());
    let before = link.bytes();
    for _ in 0..RESETS {
        let watches = router.answered_calls(WATCH);
        link.close_open();
        wait_for("a watch", || router.answered_calls(WATCH) > watches);
    }
    let moved = link.bytes() - before;
    let document = on_the_wire(&large(2, KEY));
    assert!(
        moved < document,
        "{moved} bytes were moved, a document has {document}"
    );
}

/// Pace of a link of 10 Mbit/s, in bytes a millisecond.
const TEN_MBIT: u64 = 1_250;

/// Size of a record that is near the largest of the store, in bytes.
const LARGE_RECORD: usize = 900 << 10;

// A call had 0.7 s for its own bytes as well as for the answer's: a record that a link takes longer
// to send was sent again and again, and never known to be written.
#[test]
fn a_record_that_takes_longer_to_send_than_a_silence_is_written() {
    let store = UsersStore::start().unwrap();
    let link = Link::start(store.addr()).unwrap();
    link.set_faults(LinkFaults::paced(TEN_MBIT));
    let platform = UsersPlatform::new(link.addr());
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let swap = platform.swap(Recorded::Shares(0), 0, vec![7; LARGE_RECORD]);
    let swap = LocalSet::new().block_on(&runtime, swap);
    assert!(matches!(swap, Ok(Swap::Done(_))), "{swap:?}");
}
