//! The partners of this process: the members that it exchanges heartbeats with.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wisteriapass_config::{Inventory, Router};
use wisteriapass_coord::membership::{MemberRole, PeerSubset, heartbeat_period};

/// Numbers of routers that a router chooses, so that changes spread between failure domains in few
/// steps.
const ROUTER_SUBSET: PeerSubset = PeerSubset {
    same_domain: 2,
    other_domains: 2,
};

/// Number of routers per failure domain that watch the key-value service and the VM list. The
/// others get the changes from them. Two of them may fail at once.
const WATCHER_SUBSET: PeerSubset = PeerSubset {
    same_domain: 3,
    other_domains: 0,
};

/// Size of one heartbeat and its answer with all headers, in bytes; docs/CAPACITY.md has the
/// measurement.
const EXCHANGE_BYTES: u64 = 690;

/// Bytes per second for the heartbeats that a router sends. It answers about as many, which keeps
/// the total within 8 KB per second.
const ROUTER_BYTES_PER_SECOND: u64 = 4_000;

/// The same for a router that watches the key-value service and the VM list. It is lower because
/// each edit causes an additional, immediate round of heartbeats.
const WATCHER_BYTES_PER_SECOND: u64 = 2_500;

/// Bytes per second for the heartbeats that a side process sends. There are three side processes
/// per router, so most of the heartbeats that a router answers are theirs.
const SIDE_BYTES_PER_SECOND: u64 = 1_000;

/// Minimum time between two heartbeats to one partner.
const MIN_PERIOD: Duration = Duration::from_secs(1);

/// Partners of a member, by name, with their control addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partners {
    by_name: BTreeMap<String, SocketAddr>,
    is_watcher: bool,
    bytes_per_second: u64,
}

impl Partners {
    /// Chooses the partners of a member among all members in the inventory.
    pub fn choose(name: &str, domain: &str, role: MemberRole, inventory: &Inventory) -> Self {
        let routers = inventory.router.iter();
        let routers = routers.map(|r| (r.name.as_str(), r.failure_domain.as_str()));
        let sides = inventory.target.iter();
        let sides = sides.map(|t| (t.name.as_str(), t.failure_domain.as_str()));
        let mut chosen = Vec::new();
        match role {
            MemberRole::Router => {
                chosen.extend(ROUTER_SUBSET.choose(name, domain, routers));
                chosen.extend(PeerSubset::default().choose(name, domain, sides));
            }
            MemberRole::Side => chosen.extend(PeerSubset::FOR_SIDE.choose(name, domain, routers)),
        }
        let is_watcher = role == MemberRole::Router && is_watcher(name, domain, &inventory.router);
        let with_addresses = chosen.into_iter().filter_map(|n| {
            let control = control_address(inventory, n)?;
            Some((n.to_owned(), control))
        });
        Self {
            by_name: with_addresses.collect(),
            is_watcher,
            bytes_per_second: match role {
                MemberRole::Router if is_watcher => WATCHER_BYTES_PER_SECOND,
                MemberRole::Router => ROUTER_BYTES_PER_SECOND,
                MemberRole::Side => SIDE_BYTES_PER_SECOND,
            },
        }
    }

    /// Returns the control addresses of the partners.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.by_name.values().copied().collect()
    }

    /// Returns whether the member with this name is a partner.
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
        heartbeat_period(count, EXCHANGE_BYTES, self.bytes_per_second, MIN_PERIOD)
    }
}

/// Returns the control address of a router or of a target's side process.
pub fn control_address(inventory: &Inventory, name: &str) -> Option<SocketAddr> {
    let router = inventory.router_named(name).map(|r| r.control);
    router.or_else(|| inventory.target_named(name).map(|t| t.side_control))
}

/// Returns whether a router is a watcher of its failure domain. The choice is keyed by the domain's
/// name, so that all routers of the domain agree on it.
fn is_watcher(name: &str, domain: &str, routers: &[Router]) -> bool {
    let candidates = routers.iter().filter(|r| r.failure_domain == domain);
    let candidates = candidates.map(|r| (r.name.as_str(), domain));
    WATCHER_SUBSET
        .choose(domain, domain, candidates)
        .contains(&name)
}
