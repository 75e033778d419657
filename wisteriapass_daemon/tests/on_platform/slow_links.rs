//! Configurations that take longer on a link than the silence timeout of a store call.
//!
//! After a change, 12 of 29 routers kept sending two routes to their old service for the rest of
//! the day. The document had grown to 1.1 MB, which a link of 10 Mbit/s transfers in 0.9 s. Routers
//! whose watch had more time left than that received it. The others abandoned the watch, read the
//! whole document instead, abandoned that read 0.7 s after its start as well, and so on without
//! end. Meanwhile the service counted every call as answered, and each of these routers received
//! 1,040 to 1,280 KB a second, the full rate of its link. The log of abandoned calls showed that
//! neither the service nor the connection was silent: most of the document had arrived.
//!
//! ```text
//! Call without answer. call=/-/kv-range?prefix=op/config cause=late received=753588 after_ms=700
//! ```

use serde_json::{Value, json};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use wisteriapass_bench::link::{Link, LinkFaults};
use wisteriapass_bench::standin::users_platform::SimulatedStore;
use wisteriapass_gateway::{Platform, RecordKey, SwapOutcome};
use wisteriapass_platform::UsersPlatform;

use crate::support::{KEY, Request, Router, TestPlatform, configuration, wait_for};

/// Rate of the link, in bytes per millisecond.
const LINK_RATE: u64 = 300;

/// Number of routes that make a document of about half a megabyte on the wire. It takes 1.8 s at
/// the rate above, which is longer than the silence that ends a call and shorter than a watch.
const ROUTES: usize = 1_900;

/// Number of bytes that only an answer with the large document exceeds, and that are less than all
/// of it.
const PARTIAL_ANSWER: u64 = 100 << 10;

/// Returns a configuration with many unused routes.
fn large_configuration(version: u64, key: &str) -> Value {
    let mut large = configuration(version, &[key], 10_000);
    let routes = large["routes"].as_array_mut().unwrap();
    let template = routes[0].clone();
    routes.extend((0..ROUTES).map(|n| {
        let mut route = template.clone();
        route["name"] = json!(format!("more-{n}"));
        route["prefix"] = json!(format!("/more/{n}/"));
        route
    }));
    large
}

/// Sends requests until a key is accepted.
fn wait_until_accepted(router: &Router, key: &str) {
    let mut n = 0;
    wait_for("a configuration with that key", || {
        n += 1;
        let request = Request::new(&format!("k{n}"), "/safe/x").with_key(key);
        router.send(&request).is_some_and(|a| a.status == 200)
    });
}

#[test]
fn a_change_arrives_over_a_slow_link_after_a_reset() {
    let platform = TestPlatform::new(10_000);
    let link = Link::start(platform.store.addr()).unwrap();
    let router = Router::start_with_store("r", link.addr());
    link.set_faults(LinkFaults::rate_limited(LINK_RATE));
    platform.configure(&large_configuration(2, "other"));
    link.close_open_connections();
    wait_until_accepted(&router, "other");
}

#[test]
fn a_new_router_loads_a_large_configuration_over_a_slow_link() {
    let platform = TestPlatform::new(10_000);
    platform.configure(&large_configuration(2, KEY));
    let link = Link::start(platform.store.addr()).unwrap();
    link.set_faults(LinkFaults::rate_limited(LINK_RATE));
    let router = Router::start_with_store("r", link.addr());
    wait_until_accepted(&router, KEY);
}

#[test]
fn a_connection_that_stalls_within_an_answer_is_abandoned() {
    let platform = TestPlatform::new(10_000);
    let link = Link::start(platform.store.addr()).unwrap();
    let router = Router::start_with_store("r", link.addr());
    link.set_faults(LinkFaults::rate_limited(LINK_RATE));
    let before = link.forwarded_bytes();
    platform.configure(&large_configuration(2, "other"));
    wait_for("a part of the answer", || {
        link.forwarded_bytes() > before + PARTIAL_ANSWER
    });
    link.blackhole_open_connections();
    wait_until_accepted(&router, "other");
}

/// Number of versions that are accepted while a router still receives an earlier one.
const VERSIONS_MEANWHILE: u64 = 8;

/// Maximum number of documents that a router may transfer to reach the newest version: the one in
/// progress, the newest and one to spare. A slow link takes a second for each, and three are
/// allowed.
const MAX_DOCUMENTS: u64 = 3;

// While a document takes a second to transfer, other versions may be accepted. A router that reads
// the versions one by one needs another second for each, and an answer with more of them than it
// may contain is discarded and requested again.
#[test]
fn versions_accepted_during_a_transfer_are_skipped() {
    let platform = TestPlatform::new(10_000);
    platform.configure(&large_configuration(2, KEY));
    let link = Link::start(platform.store.addr()).unwrap();
    let router = Router::start_with_store("r", link.addr());
    link.set_faults(LinkFaults::rate_limited(LINK_RATE));
    let before = link.forwarded_bytes();
    platform.configure(&large_configuration(3, KEY));
    wait_for("a part of the answer", || {
        link.forwarded_bytes() > before + PARTIAL_ANSWER
    });
    for version in 4..4 + VERSIONS_MEANWHILE {
        platform.configure(&large_configuration(version, "other"));
    }
    wait_until_accepted(&router, "other");
    let transferred = link.forwarded_bytes() - before;
    let max = MAX_DOCUMENTS * wire_size(&large_configuration(3, KEY));
    assert!(
        transferred <= max,
        "{transferred} bytes were transferred, at most {max} are allowed"
    );
}

/// Returns the size of a configuration in an answer of the store, which encodes it as base64.
fn wire_size(configuration: &Value) -> u64 {
    configuration.to_string().len() as u64 * 4 / 3
}

/// Metrics label of the configuration watches.
const WATCH: &str = "watch_configuration";

/// Number of successive connection resets.
const RESETS: u64 = 3;

// The watches of 17 of 29 routers broke at once. In the following seconds 17, 18, 14, 10 and 7
// routers received at nearly the full rate of their links, although there was no new version: each
// router read the document of about 0.8 MB that it had in force, and read it again if the link was
// too slow.
#[test]
fn a_reset_without_a_change_transfers_no_document() {
    let platform = TestPlatform::new(10_000);
    platform.configure(&large_configuration(2, KEY));
    let link = Link::start(platform.store.addr()).unwrap();
    let router = Router::start_with_store("r", link.addr());
    let before = link.forwarded_bytes();
    for _ in 0..RESETS {
        let watches = router.answered_calls(WATCH);
        link.close_open_connections();
        wait_for("the next watch", || router.answered_calls(WATCH) > watches);
    }
    let transferred = link.forwarded_bytes() - before;
    let document = wire_size(&large_configuration(2, KEY));
    assert!(
        transferred < document,
        "{transferred} bytes were transferred, a document has {document}"
    );
}

/// Rate of a link of 10 Mbit/s, in bytes per millisecond.
const TEN_MBIT: u64 = 1_250;

/// Size of a record near the maximum of the store, in bytes.
const LARGE_RECORD: usize = 900 << 10;

// The timeout of 0.7 s covered sending a call as well as receiving its answer. A record that took
// longer to send was sent over and over, and the router never learned that it was written.
#[test]
fn a_record_that_takes_longer_to_send_than_the_silence_timeout_is_written() {
    let store = SimulatedStore::start().unwrap();
    let link = Link::start(store.addr()).unwrap();
    link.set_faults(LinkFaults::rate_limited(TEN_MBIT));
    let platform = UsersPlatform::new(link.addr());
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let swap = platform.compare_and_swap(RecordKey::Shares(0), 0, vec![7; LARGE_RECORD]);
    let swap = LocalSet::new().block_on(&runtime, swap);
    assert!(matches!(swap, Ok(SwapOutcome::Done(_))), "{swap:?}");
}
