//! Streams that began at a router that follows the relays.

use crate::support::parts::{begin_and_kill, slow_down, take_up_all};
use crate::support::{RelayFleet, TestPlatform};

/// Prepaid total that suffices for all streams of a test.
const PREPAID: u64 = 1_000_000;

/// Number of streams that are begun together.
const STREAMS: usize = 12;

/// Guards against followers whose streams nobody remembers, or that ask nobody.
#[test]
fn a_stream_of_a_killed_follower_goes_on_at_another_version() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v1", "v2", "v2"]);
    slow_down(&platform);
    let mut fleet = RelayFleet::start_with(platform);
    let mut parts = begin_and_kill(&mut fleet.followers[0], "cut", STREAMS);
    let (relays, followers) = (&fleet.relays, &fleet.followers);
    let routers = [&followers[1], &relays[0], &relays[3]];
    assert_eq!(take_up_all(&mut parts, &routers), STREAMS);
}
