//! The configuration in force: the routes, services, accounts and limits of one version.

mod change;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::route::Route;

pub use change::CatalogueChange;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name under which targets know the account.
    pub name: String,
    /// Priority of all its requests; overrides the route's priority.
    pub priority: Option<u8>,
    /// Prepaid total, in tokens; unlimited if `None`.
    pub prepaid: Option<u64>,
    /// Regions in which its requests may run; any region if empty.
    pub regions: Vec<String>,
}

/// Load limit of a service's targets just after their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which a target is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// Requests that a cold target can take in 1,000 s.
    pub per_1000_s: u64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of connections to one target, over all routers.
    pub max_connections: Option<u32>,
    /// Tokens per event of its streams.
    pub tokens_per_event: Option<u64>,
    /// Whether its targets are inference engines.
    pub is_engine: bool,
    /// Load limit of its cold targets; none if they need no protection.
    pub cold_start: Option<ColdStart>,
}

/// Limits on requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of the header block, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Header timeout, in milliseconds. It is applied to the body, which may take a multiple of it
    /// to arrive.
    pub header_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Limits before a configuration is known: sizes that HTTP servers commonly accept.
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
    /// Version; increases, not always by one.
    pub version: u64,
    /// Limits on clients.
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

    /// Adds routes; of several with the same host and prefix the first one is kept.
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

    /// Adds an account and its API keys.
    pub fn with_account(mut self, account: Account, keys: Vec<String>) -> Self {
        let index = self.accounts.len();
        self.accounts.push(Rc::new(account));
        self.keys.extend(keys.into_iter().map(|key| (key, index)));
        self
    }

    /// Returns the route with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let host_routes = self.routes.get(host)?;
        let fits = host_routes.iter().find(|r| path.starts_with(&r.prefix));
        fits.cloned()
    }

    /// Returns the account that owns an API key.
    pub fn account(&self, key: &str) -> Option<Rc<Account>> {
        let index = self.keys.get(key)?;
        Some(self.accounts[*index].clone())
    }

    /// Returns the account with a name.
    pub fn account_named(&self, name: &str) -> Option<Rc<Account>> {
        self.accounts.iter().find(|a| a.name == name).cloned()
    }

    /// Returns whether any route has a host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.contains_key(host)
    }

    /// Returns whether requests need an account.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().map(Rc::as_ref)
    }

    /// Returns a service; one without an entry has the default properties.
    pub fn service(&self, name: &str) -> Service {
        self.services.get(name).cloned().unwrap_or_default()
    }

    /// Returns whether the streams of some route are distributed to several services.
    pub fn has_split_streams(&self) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|r| r.kind.is_stream() && r.services.len() > 1)
    }

    /// Returns the number of routes.
    pub fn routes_len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
