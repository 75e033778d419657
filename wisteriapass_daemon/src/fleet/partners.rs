//! Whom this process exchanges heartbeats with.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wisteriapass_config::{Inventory, Router};
use wisteriapass_coord::membership::{MemberRole, PeerSubset, heartbeat_period};

/// Routers that a router chooses, so that words travel between failure domains in few steps.
const ROUTERS: PeerSubset = PeerSubset {
    same_domain: 2,
    other_domains: 2,
};

/// Routers a failure domain that watch the key-value service and the VM list; the others hear from
/// them. Two may fail at once.
const WATCHERS: PeerSubset = PeerSubset {
    same_domain: 3,
    other_domains: 0,
};

/// Bytes of one heartbeat and its answer with all headers; docs/CAPACITY.md has the measurement.
const EXCHANGE_BYTES: u64 = 690;

/// Bytes a second for the heartbeats that a router makes; it answers about as many, within 8 KB.
const ROUTER_BYTES_A_SECOND: u64 = 4_000;

/// The same for a router that watches: each edit costs it a round at once, besides.
const WATCHER_BYTES_A_SECOND: u64 = 2_500;

/// Bytes a second for the heartbeats that a side process makes. There are three side processes to
/// a router, so theirs are the greater part of what a router answers.
const SIDE_BYTES_A_SECOND: u64 = 1_000;

/// Shortest time between two heartbeats to one partner.
const SHORTEST: Duration = Duration::from_secs(1);

/// Partners by name with their control addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partners {
    by_name: BTreeMap<String, SocketAddr>,
    is_watcher: bool,
    bytes_a_second: u64,
}

impl Partners {
    /// Chooses the partners of a member among all that the inventory plans.
    pub fn choose(name: &str, domain: &str, role: MemberRole, inventory: &Inventory) -> Self {
        let routers = inventory.router.iter();
        let routers = routers.map(|r| (r.name.as_str(), r.failure_domain.as_str()));
        let sides = inventory.target.iter();
        let sides = sides.map(|t| (t.name.as_str(), t.failure_domain.as_str()));
        let mut chosen = Vec::new();
        match role {
            MemberRole::Router => {
                chosen.extend(ROUTERS.choose(name, domain, routers));
                chosen.extend(PeerSubset::default().choose(name, domain, sides));
            }
            MemberRole::Side => chosen.extend(PeerSubset::FOR_SIDE.choose(name, domain, routers)),
        }
        let is_watcher = role == MemberRole::Router && is_watcher(name, domain, &inventory.router);
        let addressed = chosen.into_iter().filter_map(|n| {
            let control = control_address(inventory, n)?;
            Some((n.to_owned(), control))
        });
        Self {
            by_name: addressed.collect(),
            is_watcher,
            bytes_a_second: match role {
                MemberRole::Router if is_watcher => WATCHER_BYTES_A_SECOND,
                MemberRole::Router => ROUTER_BYTES_A_SECOND,
                MemberRole::Side => SIDE_BYTES_A_SECOND,
            },
        }
    }

    /// Returns the control addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.by_name.values().copied().collect()
    }

    /// Returns whether this name is a partner.
    pub fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Returns whether this process watches the key-value service and the VM list.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Returns the time between two heartbeats to each partner.
    pub fn period(&self) -> Duration {
        let count = self.by_name.len();
        heartbeat_period(count, EXCHANGE_BYTES, self.bytes_a_second, SHORTEST)
    }
}

/// Returns the control address of a router or of a target's side process.
pub fn control_address(inventory: &Inventory, name: &str) -> Option<SocketAddr> {
    let router = inventory.router_named(name).map(|r| r.control);
    router.or_else(|| inventory.target_named(name).map(|t| t.side_control))
}

fn is_watcher(name: &str, domain: &str, routers: &[Router]) -> bool {
    let near = routers.iter().filter(|r| r.failure_domain == domain);
    let near = near.map(|r| (r.name.as_str(), domain));
    WATCHERS.choose(domain, domain, near).contains(&name)
}
