//! The scheduler: receives events and returns decisions.
//!
//! [`Scheduler::offer`] refuses a request at once, or queues it and dispatches the next requests in
//! fair order. [`Scheduler::poll`] returns decisions about waiting requests. The router reports the
//! result of each run, and calls `poll` after each report and at [`Scheduler::next_wake`].

mod dispatch;
mod feedback;
mod offer;
mod poll;
mod timer;

use std::collections::HashMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::{Key, SlotMap};

use crate::affinity::CacheHints;
use crate::job::Job;
use crate::keys::PoolKey;
use crate::names::Names;
use crate::pool::Pool;
use crate::retry_budget::RetryBudget;
use crate::target::Target;
use crate::{
    AccountInfo, AccountKey, LoadReport, NameKey, PolicyConfig, RequiredResource, TargetInfo,
    TargetKey, Ticket, TicketDecision, Time,
};
use timer::Timers;

/// Schedules the requests of one router.
#[derive(Debug)]
pub struct Scheduler {
    cfg: PolicyConfig,
    names: Names,
    targets: SlotMap<TargetKey, Target>,
    target_keys: HashMap<String, TargetKey>,
    accounts: SlotMap<AccountKey, AccountInfo>,
    account_keys: HashMap<String, AccountKey>,
    pools: SlotMap<PoolKey, Pool>,
    pool_keys: HashMap<RequiredResource, PoolKey>,
    jobs: SlotMap<Ticket, Job>,
    cache_hints: CacheHints,
    timers: Timers,
    pending_decisions: Vec<TicketDecision>,
    /// Waiting requests whose account was removed.
    orphans: Vec<Ticket>,
    retry_budget: RetryBudget,
    /// Number of events that may have freed capacity at a target.
    change_count: u64,
    router_count: f64,
    rng: ChaCha8Rng,
}

impl Scheduler {
    /// Creates a scheduler without targets and accounts.
    pub fn new(cfg: PolicyConfig) -> Self {
        Self {
            names: Names::default(),
            targets: SlotMap::with_key(),
            target_keys: HashMap::new(),
            accounts: SlotMap::with_key(),
            account_keys: HashMap::new(),
            pools: SlotMap::with_key(),
            pool_keys: HashMap::new(),
            jobs: SlotMap::with_key(),
            cache_hints: CacheHints::default(),
            timers: Timers::new(),
            pending_decisions: Vec::new(),
            orphans: Vec::new(),
            retry_budget: RetryBudget::new(cfg.try_share, cfg.try_burst),
            change_count: 0,
            router_count: 1.0,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
        }
    }

    /// Replaces the settings; learned values are kept.
    pub fn set_config(&mut self, cfg: PolicyConfig) {
        self.retry_budget = RetryBudget::new(cfg.try_share, cfg.try_burst);
        self.cfg = cfg;
    }

    /// Sets how many routers share the targets, including this one.
    pub fn set_routers(&mut self, router_count: usize) {
        self.router_count = router_count.max(1) as f64;
    }

    /// Replaces the targets; the state of those that stay is kept.
    ///
    /// A target that is no longer listed gets no new requests, and is removed once its runs have
    /// ended.
    pub fn set_targets(&mut self, _now: Time, targets: &[TargetInfo]) {
        self.change_count += 1;
        for target in self.targets.values_mut() {
            target.info.leaving = true;
        }
        for info in targets {
            let hosted = Target::intern_hosted(info, &mut self.names);
            match self.target_keys.get(&info.name) {
                Some(&key) => self.targets[key].set_info(info.clone(), hosted),
                None => {
                    let target = Target::new(info.clone(), hosted, &self.cfg);
                    let key = self.targets.insert(target);
                    self.target_keys.insert(info.name.clone(), key);
                }
            }
        }
        let is_listed = |t: &Target| targets.iter().any(|info| info.name == t.info.name);
        self.targets
            .retain(|_, t| t.load.own_requests > 0 || is_listed(t));
        self.target_keys
            .retain(|_, key| self.targets.contains_key(*key));
        for pool in self.pools.values_mut() {
            pool.members = members(&self.targets, pool.resource);
        }
    }

    /// Replaces the client accounts; the shares of those that stay are kept.
    pub fn set_accounts(&mut self, accounts: &[AccountInfo]) {
        for info in accounts {
            match self.account_keys.get(&info.name) {
                Some(&key) => self.accounts[key] = info.clone(),
                None => {
                    let key = self.accounts.insert(info.clone());
                    self.account_keys.insert(info.name.clone(), key);
                }
            }
        }
        let removed = self
            .accounts
            .iter()
            .filter(|(_, a)| accounts.iter().all(|info| info.name != a.name));
        let removed: Vec<AccountKey> = removed.map(|(key, _)| key).collect();
        for key in removed {
            self.remove_account(key);
        }
    }

    /// Returns the key of a client account, if there is one with this name.
    pub fn account_key(&self, name: &str) -> Option<AccountKey> {
        self.account_keys.get(name).copied()
    }

    /// Returns the key of a model, version, adapter or service that some target has hosted.
    pub fn name_key(&self, name: &str) -> Option<NameKey> {
        self.names.find(name)
    }

    /// Returns the key of a target.
    pub fn target_key(&self, name: &str) -> Option<TargetKey> {
        self.target_keys.get(name).copied()
    }

    /// Returns the name of a target.
    pub fn target_name(&self, target: TargetKey) -> Option<&str> {
        self.targets.get(target).map(|t| t.info.name.as_str())
    }

    /// Returns whether a target is currently avoided, for status pages and metrics.
    pub fn is_avoided(&self, now: Time, target: TargetKey) -> bool {
        self.targets
            .get(target)
            .is_some_and(|t| t.health.limit(now) == 0)
    }

    /// Returns the number of this router's requests in flight at a target.
    pub fn in_flight(&self, target: TargetKey) -> u32 {
        self.targets.get(target).map_or(0, |t| t.load.own_requests)
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.jobs.values().filter(|j| j.runs.is_empty()).count()
    }

    /// Records a target's load report; reports may be late, lost or out of order.
    pub fn record_load_report(&mut self, _now: Time, target: TargetKey, report: LoadReport) {
        let router_count = self.router_count;
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        self.change_count += 1;
        let slots = target.slots();
        target
            .load
            .record_report(report, slots, router_count, &mut self.rng);
    }

    /// Records a report that a target holds (or has dropped) a prompt prefix.
    ///
    /// `prefix` is the hash in [`crate::RequestInfo::prefix`], which also covers the model and
    /// adapter.
    pub fn record_cache_hint(&mut self, now: Time, target: TargetKey, prefix: u64, held: bool) {
        if self.targets.contains_key(target) {
            self.cache_hints
                .record(now, target, prefix, held, &self.cfg);
        }
    }

    /// Removes an account; its waiting requests are refused at the next poll.
    fn remove_account(&mut self, key: AccountKey) {
        if let Some(account) = self.accounts.remove(key) {
            self.account_keys.remove(&account.name);
        }
        let is_waiting = |j: &Job| j.request.account == key && j.runs.is_empty();
        let orphans = self.jobs.iter().filter(|(_, j)| is_waiting(j));
        let orphans = orphans.map(|(ticket, _)| ticket);
        self.orphans.extend(orphans);
        for pool in self.pools.values_mut() {
            pool.queue.remove_account(key);
        }
    }

    /// Returns the pool for a resource, created if some target hosts it.
    fn pool_for(&mut self, resource: RequiredResource) -> Option<PoolKey> {
        if let Some(&key) = self.pool_keys.get(&resource) {
            return Some(key);
        }
        let members = members(&self.targets, resource);
        if members.is_empty() {
            return None;
        }
        let mut pool = Pool::new(resource);
        pool.members = members;
        let key = self.pools.insert(pool);
        self.pool_keys.insert(resource, key);
        Some(key)
    }
}

/// Returns the targets that host a resource and accept requests.
fn members(targets: &SlotMap<TargetKey, Target>, resource: RequiredResource) -> Vec<TargetKey> {
    let hosts = targets
        .iter()
        .filter(|(_, t)| t.accepts_requests() && t.hosts(resource));
    hosts.map(|(key, _)| key).filter(|k| !k.is_null()).collect()
}
