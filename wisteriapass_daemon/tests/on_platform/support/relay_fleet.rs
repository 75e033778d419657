//! A fleet that is large enough to have followers.

use wisteriapass_bench::link::Link;

use super::{Router, TestPlatform, is_relay, wait_for};

/// Minimum number of relays in a fleet.
pub const RELAYS: usize = 6;

/// Number of routers that follow the relays.
pub const FOLLOWERS: usize = 2;

/// A fleet of relays and followers, each with its own link to the store.
pub struct RelayFleet {
    pub platform: TestPlatform,
    pub links: Vec<Link>,
    pub relays: Vec<Router>,
    pub followers: Vec<Router>,
}

impl RelayFleet {
    /// Starts a fleet on a platform with two targets of each service.
    pub fn start(prepaid: u64) -> Self {
        Self::start_with(TestPlatform::new(prepaid))
    }

    /// Starts a fleet on a platform.
    pub fn start_with(platform: TestPlatform) -> Self {
        let link = |_| Link::start(platform.store.addr()).unwrap();
        let links: Vec<Link> = (0..RELAYS + FOLLOWERS).map(link).collect();
        let start = |n: usize| Router::start_with_store(&format!("r{n}"), links[n].addr());
        let relays: Vec<Router> = (0..RELAYS).map(start).collect();
        wait_for("all routers of a small fleet as relays", || {
            (0..RELAYS).all(|n| is_relay(&platform.store, &format!("r{n}")))
        });
        let followers = (RELAYS..RELAYS + FOLLOWERS).map(start).collect();
        Self {
            platform,
            links,
            relays,
            followers,
        }
    }
}
