//! The scheduler: takes facts, answers with decisions.
//!
//! A request's way: [`Scheduler::offer`] refuses it at once, or queues it and gives work to
//! whatever is next in fair order. [`Scheduler::poll`] decides about those that wait. The router
//! tells what became of each run, and calls `poll` after each such call and at
//! [`Scheduler::next_wake`].

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
use crate::retry_budget::TryBudget;
use crate::target::Target;
use crate::{
    AccountInfo, AccountKey, LoadReport, NameKey, PolicyConfig, RequiredResource, TargetInfo,
    TargetKey, Ticket, TicketDecision, Time,
};
use timer::Alarms;

/// Decides about the requests of one router.
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
    hints: CacheHints,
    alarms: Alarms,
    ready: Vec<TicketDecision>,
    /// Waiting requests whose account was removed.
    orphans: Vec<Ticket>,
    tries: TryBudget,
    /// Events so far that may have made room at a target.
    changes: u64,
    routers: f64,
    rng: ChaCha8Rng,
}

impl Scheduler {
    /// Creates a scheduler that knows no targets and no accounts.
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
            hints: CacheHints::default(),
            alarms: Alarms::new(),
            ready: Vec::new(),
            orphans: Vec::new(),
            tries: TryBudget::new(cfg.try_share, cfg.try_burst),
            changes: 0,
            routers: 1.0,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
        }
    }

    /// Replaces the thresholds; what was learned is kept.
    pub fn set_config(&mut self, cfg: PolicyConfig) {
        self.tries = TryBudget::new(cfg.try_share, cfg.try_burst);
        self.cfg = cfg;
    }

    /// Sets how many routers share the targets, this one included.
    pub fn set_routers(&mut self, routers: usize) {
        self.routers = routers.max(1) as f64;
    }

    /// Replaces the targets; what is known of those that stay is kept.
    ///
    /// A target that is not named any more gets no new work, and is forgotten once its runs ended.
    pub fn set_targets(&mut self, _now: Time, facts: &[TargetInfo]) {
        self.changes += 1;
        for target in self.targets.values_mut() {
            target.facts.leaving = true;
        }
        for f in facts {
            let held = Target::intern_held(f, &mut self.names);
            match self.target_keys.get(&f.name) {
                Some(&key) => self.targets[key].set_facts(f.clone(), held),
                None => {
                    let target = Target::new(f.clone(), held, &self.cfg);
                    let key = self.targets.insert(target);
                    self.target_keys.insert(f.name.clone(), key);
                }
            }
        }
        let listed = |t: &Target| facts.iter().any(|f| f.name == t.facts.name);
        self.targets.retain(|_, t| t.load.own > 0 || listed(t));
        self.target_keys
            .retain(|_, key| self.targets.contains_key(*key));
        for pool in self.pools.values_mut() {
            pool.members = members(&self.targets, pool.wants);
        }
    }

    /// Replaces the client accounts; shares of those that stay are kept.
    pub fn set_accounts(&mut self, facts: &[AccountInfo]) {
        for f in facts {
            match self.account_keys.get(&f.name) {
                Some(&key) => self.accounts[key] = f.clone(),
                None => {
                    let key = self.accounts.insert(f.clone());
                    self.account_keys.insert(f.name.clone(), key);
                }
            }
        }
        let gone = self
            .accounts
            .iter()
            .filter(|(_, a)| facts.iter().all(|f| f.name != a.name));
        let gone: Vec<AccountKey> = gone.map(|(key, _)| key).collect();
        for key in gone {
            self.remove_account(key);
        }
    }

    /// Returns the key of an account, if the rules name it.
    pub fn account_key(&self, name: &str) -> Option<AccountKey> {
        self.account_keys.get(name).copied()
    }

    /// Returns the key of a model, version, adapter or service that some target held.
    pub fn name_key(&self, name: &str) -> Option<NameKey> {
        self.names.find(name)
    }

    /// Returns the key of a target.
    pub fn target_key(&self, name: &str) -> Option<TargetKey> {
        self.target_keys.get(name).copied()
    }

    /// Returns the name of a target.
    pub fn target_name(&self, target: TargetKey) -> Option<&str> {
        self.targets.get(target).map(|t| t.facts.name.as_str())
    }

    /// Returns whether a target is avoided now, for status pages and metrics.
    pub fn is_avoided(&self, now: Time, target: TargetKey) -> bool {
        self.targets
            .get(target)
            .is_some_and(|t| t.health.limit(now) == 0)
    }

    /// Returns this router's requests in flight at a target.
    pub fn in_flight(&self, target: TargetKey) -> u32 {
        self.targets.get(target).map_or(0, |t| t.load.own)
    }

    /// Returns how many requests wait.
    pub fn waiting_count(&self) -> usize {
        self.jobs.values().filter(|j| j.runs.is_empty()).count()
    }

    /// Takes a target's load report in; reports may be late, lost or out of order.
    pub fn record_load_report(&mut self, _now: Time, target: TargetKey, report: LoadReport) {
        let routers = self.routers;
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        self.changes += 1;
        let slots = target.slots();
        target.load.report(report, slots, routers, &mut self.rng);
    }

    /// Takes in that a target was said to hold (or to have dropped) a prompt prefix.
    ///
    /// The hash is that of [`crate::RequestFacts::prefix`], and covers the model and adapter too.
    pub fn record_cache_hint(&mut self, now: Time, target: TargetKey, prefix: u64, held: bool) {
        if self.targets.contains_key(target) {
            self.hints.set(now, target, prefix, held, &self.cfg);
        }
    }

    /// Forgets an account; its waiting requests are refused at the next poll.
    fn remove_account(&mut self, key: AccountKey) {
        if let Some(account) = self.accounts.remove(key) {
            self.account_keys.remove(&account.name);
        }
        let waits = |j: &Job| j.facts.account == key && j.runs.is_empty();
        let orphans = self.jobs.iter().filter(|(_, j)| waits(j));
        let orphans = orphans.map(|(ticket, _)| ticket);
        self.orphans.extend(orphans);
        for pool in self.pools.values_mut() {
            pool.lanes.remove(key);
        }
    }

    /// Returns the pool for a want, created if some target holds it.
    fn pool_for(&mut self, wants: RequiredResource) -> Option<PoolKey> {
        if let Some(&key) = self.pool_keys.get(&wants) {
            return Some(key);
        }
        let members = members(&self.targets, wants);
        if members.is_empty() {
            return None;
        }
        let mut pool = Pool::new(wants);
        pool.members = members;
        let key = self.pools.insert(pool);
        self.pool_keys.insert(wants, key);
        Some(key)
    }
}

/// Returns the open targets that hold what is wanted.
fn members(targets: &SlotMap<TargetKey, Target>, wants: RequiredResource) -> Vec<TargetKey> {
    let holders = targets.iter().filter(|(_, t)| t.open() && t.holds(wants));
    holders
        .map(|(key, _)| key)
        .filter(|k| !k.is_null())
        .collect()
}
