//! Differences between two versions of the configuration, as relays send them to followers.

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{Account, Catalogue, Limits, Service};
use crate::route::Route;

/// An account and its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountKeys {
    /// The account.
    pub account: Account,
    /// Its API keys, sorted.
    pub keys: Vec<String>,
}

/// Identifies a route by its host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host, in lower case.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
}

/// Difference between two versions of the configuration; from version 0 it is the complete
/// configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueChange {
    /// Version that it applies to.
    pub from: u64,
    /// Version that results.
    pub to: u64,
    /// Limits on clients.
    pub limits: Limits,
    /// Routes that were added or changed.
    pub routes: Vec<Route>,
    /// Routes that were removed.
    pub removed_routes: Vec<RouteKey>,
    /// All services.
    pub services: BTreeMap<String, Service>,
    /// Accounts that were added or changed.
    pub accounts: Vec<AccountKeys>,
    /// Accounts that were removed.
    pub removed_accounts: Vec<String>,
}

impl Catalogue {
    /// Returns the change that leads from another version to this one.
    pub fn diff_from(&self, before: &Self) -> CatalogueChange {
        let (mine, theirs) = (self.account_keys(), before.account_keys());
        let is_gone = |name: &&String| !mine.contains_key(*name);
        let accounts = mine
            .iter()
            .filter(|(name, a)| theirs.get(*name) != Some(*a));
        CatalogueChange {
            from: before.version,
            to: self.version,
            limits: self.limits,
            routes: self.routes_differing_from(before).cloned().collect(),
            removed_routes: before.routes_missing_in(self),
            services: self.services.clone().into_iter().collect(),
            accounts: accounts.map(|(_, a)| a.clone()).collect(),
            removed_accounts: theirs.keys().filter(is_gone).cloned().collect(),
        }
    }

    /// Returns the version that results from a change; `None` if the change applies to another
    /// version.
    pub fn with_change(&self, change: &CatalogueChange) -> Option<Self> {
        if change.from != self.version {
            return None;
        }
        let mut next = Self::new(change.to, change.limits);
        next.services = change.services.clone().into_iter().collect();
        next.routes = self.routes.clone();
        next.drop_routes(change);
        next = next.with_routes(change.routes.clone());
        let mut accounts = self.account_keys();
        accounts.retain(|name, _| !change.removed_accounts.contains(name));
        for account in &change.accounts {
            accounts.insert(account.account.name.clone(), account.clone());
        }
        for AccountKeys { account, keys } in accounts.into_values() {
            next = next.with_account(account, keys);
        }
        Some(next)
    }

    /// Removes the routes that a change replaces or removes.
    fn drop_routes(&mut self, change: &CatalogueChange) {
        let gone = change.removed_routes.iter();
        let gone = gone.map(|key| (&key.host, &key.prefix));
        let set = change.routes.iter().map(|r| (&r.host, &r.prefix));
        let dropped: HashSet<(&String, &String)> = gone.chain(set).collect();
        let hosts: HashSet<&String> = dropped.iter().map(|(host, _)| *host).collect();
        for host in hosts {
            if let Some(routes) = self.routes.get_mut(host) {
                routes.retain(|r| !dropped.contains(&(&r.host, &r.prefix)));
            }
        }
        self.routes.retain(|_, routes| !routes.is_empty());
    }

    fn routes_differing_from<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a Route> {
        let all = self.routes.values().flatten().map(Rc::as_ref);
        all.filter(|route| other.route_at(&route.host, &route.prefix) != Some(*route))
    }

    fn routes_missing_in(&self, other: &Self) -> Vec<RouteKey> {
        let all = self.routes.values().flatten();
        let gone = all.filter(|r| other.route_at(&r.host, &r.prefix).is_none());
        gone.map(|r| RouteKey {
            host: r.host.clone(),
            prefix: r.prefix.clone(),
        })
        .collect()
    }

    fn route_at(&self, host: &str, prefix: &str) -> Option<&Route> {
        let host_routes = self.routes.get(host)?;
        host_routes
            .iter()
            .map(Rc::as_ref)
            .find(|r| r.prefix == prefix)
    }

    fn account_keys(&self) -> BTreeMap<String, AccountKeys> {
        let mut all: Vec<AccountKeys> = self
            .accounts
            .iter()
            .map(|account| AccountKeys {
                account: account.as_ref().clone(),
                keys: Vec::new(),
            })
            .collect();
        for (key, index) in &self.keys {
            all[*index].keys.push(key.clone());
        }
        for account in &mut all {
            account.keys.sort();
        }
        let named = all.into_iter();
        named.map(|a| (a.account.name.clone(), a)).collect()
    }
}
