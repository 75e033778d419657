//! The configuration in force: routes, services, accounts and limits of one version.

mod change;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::route::Route;

pub use change::CatalogueChange;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name, as targets know it.
    pub name: String,
    /// Rank of all its requests; goes before the route's.
    pub priority: Option<u8>,
    /// Total that may be consumed, in tokens; none is no bound.
    pub prepaid: Option<u64>,
    /// Regions in which its requests may run; none named is no bound.
    pub allowed_regions: Vec<String>,
}

/// What targets of a service bear when they have just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which a target is cold behind its start, in milliseconds.
    pub start_ms: u64,
    /// Requests that a cold target bears in 1,000 s.
    pub per_1000_s: u64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Most connections that one of its targets takes from all routers.
    pub max_connections: Option<u32>,
    /// Tokens in an event of its streams.
    pub tokens_per_event: Option<u64>,
    /// Whether its targets are model engines.
    pub is_engine: bool,
    /// What its targets bear while they are cold; none if they need no care.
    pub cold_start: Option<ColdStart>,
}

/// What a caller may send, and how long it may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest header block, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a body to arrive, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection stays idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// What holds before a configuration is known: the sizes that HTTP servers commonly take.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// Version; grows, in uneven steps.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    routes: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<String, Service>,
    accounts: Vec<Rc<Account>>,
    keys: HashMap<String, usize>,
}

impl Catalogue {
    /// Creates a configuration without routes.
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds routes; of several at one index the first counts.
    pub fn with_routes(mut self, routes: Vec<Route>) -> Self {
        let mut hosts = HashSet::new();
        for route in routes {
            let host_routes = self.routes.entry(route.host.clone()).or_default();
            hosts.insert(route.host.clone());
            host_routes.push(Rc::new(route));
        }
        for host in hosts {
            if let Some(host_routes) = self.routes.get_mut(&host) {
                host_routes.sort_by(|a, b| {
                    let longest_first = b.prefix.len().cmp(&a.prefix.len());
                    longest_first.then_with(|| a.prefix.cmp(&b.prefix))
                });
                host_routes.dedup_by(|later, first| later.prefix == first.prefix);
            }
        }
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, name: String, service: Service) -> Self {
        self.services.insert(name, service);
        self
    }

    /// Adds an account and its keys.
    pub fn with_account(mut self, account: Account, keys: Vec<String>) -> Self {
        let index = self.accounts.len();
        self.accounts.push(Rc::new(account));
        self.keys.extend(keys.into_iter().map(|key| (key, index)));
        self
    }

    /// Returns the route with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let host_routes = self.routes.get(host)?;
        let fits = host_routes.iter().find(|r| path.starts_with(&r.prefix));
        fits.cloned()
    }

    /// Returns the account that holds a key.
    pub fn account(&self, key: &str) -> Option<Rc<Account>> {
        let index = self.keys.get(key)?;
        Some(self.accounts[*index].clone())
    }

    /// Returns whether requests need an account.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().map(Rc::as_ref)
    }

    /// Returns a service; one that is not described has no properties.
    pub fn service(&self, name: &str) -> Service {
        self.services.get(name).cloned().unwrap_or_default()
    }

    /// Returns how many routes there are.
    pub fn routes_len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
