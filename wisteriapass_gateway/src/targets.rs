//! Targets that this router knows.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use slotmap::SlotMap;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::platform::Change;
use crate::target::{Availability, Target, TargetEntry, TargetId, TargetKey};

/// Time that an entry may be missing after the store answers again, in milliseconds. The platform
/// states that entries of live targets are back about two seconds after the store's return, some of
/// which have passed by then. A target that left in the meantime may get no requests for longer
/// than this.
const REAPPEAR_MS: u64 = 2_000;

/// Targets by id, with the failure domains that are evacuated.
#[derive(Debug, Default)]
pub struct Targets {
    arena: SlotMap<TargetKey, Target>,
    ids: HashMap<TargetId, TargetKey>,
    /// Failure domains whose targets get no new requests.
    evacuated: BTreeSet<String>,
    /// Whether a complete state has been applied.
    is_complete: bool,
}

impl Targets {
    /// Returns a target; `None` after it was removed.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.arena.values()
    }

    /// Returns the targets of a service.
    pub fn of_service(&self, service: &str) -> SmallVec<[(TargetKey, &Target); 32]> {
        let all = self.arena.iter();
        all.filter(|(_, t)| t.entry.service == service).collect()
    }

    /// Returns the targets of a service that may get new requests.
    pub fn available(&self, service: &str, now: Instant) -> SmallVec<[(TargetKey, &Target); 32]> {
        let mut available = self.of_service(service);
        available.retain(|(_, t)| self.accepts_requests(t, now));
        available
    }

    /// Returns whether a target may get new requests.
    pub fn accepts_requests(&self, target: &Target, now: Instant) -> bool {
        target.is_open(now) && !self.evacuated.contains(&target.entry.failure_domain)
    }

    /// Sets the evacuated failure domains; targets of domains that no longer are may be cold.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<String>, now: Instant) {
        let before = std::mem::replace(&mut self.evacuated, evacuated.clone());
        let is_restored = |t: &Target| {
            before.contains(&t.entry.failure_domain)
                && !self.evacuated.contains(&t.entry.failure_domain)
        };
        let restored = self.arena.values().filter(|t| is_restored(t));
        restored.for_each(|t| t.suspect_restart(now));
    }

    /// Applies a change; entries that are removed within `REAPPEAR_MS` of `recovered_at` may
    /// reappear.
    pub fn apply(&mut self, change: &Change, now: Instant, recovered_at: Option<Instant>) {
        match change {
            Change::Target(entry) => self.set(entry, now),
            Change::Removed(id) => self.remove(id, now, recovered_at),
            Change::Invalid(id) => {
                log::warn!(target: "targets", "Entry invalid. target={id}");
                self.mark_closed(id);
            }
            Change::Missing(id, until) => self.mark_missing(id, *until),
            Change::Configuration(_) | Change::Evacuated(_) | Change::Restored(_) => {}
        }
    }

    /// Closes a target at whose address another target responds.
    pub fn mark_replaced(&mut self, key: TargetKey) {
        if let Some(target) = self.arena.get_mut(key) {
            log::info!(
                target: "targets",
                "Another target responds at the address. target={}",
                target.entry.id
            );
            target.availability = Availability::Closed;
        }
    }

    /// Returns until when a target may get new requests although its entry is missing.
    pub fn missing_until(&self, id: &TargetId) -> Option<Instant> {
        let target = self.ids.get(id).and_then(|key| self.arena.get(*key))?;
        match target.availability {
            Availability::Missing(until) => Some(until),
            Availability::Open | Availability::Closed => None,
        }
    }

    /// Applies a complete state: entries that are not in it are removed.
    pub fn replace_all<'a>(
        &mut self,
        changes: impl Iterator<Item = &'a Change> + Clone,
        now: Instant,
        recovered_at: Option<Instant>,
    ) {
        let named: HashSet<&TargetId> = changes.clone().filter_map(Change::target).collect();
        let is_missing = |id: &&TargetId| !named.contains(id);
        let gone: Vec<TargetId> = self.ids.keys().filter(is_missing).cloned().collect();
        for id in gone {
            self.remove(&id, now, recovered_at);
        }
        for change in changes {
            self.apply(change, now, recovered_at);
        }
        self.is_complete = true;
    }

    /// Removes targets that are closed, run no requests of this router and need not be remembered.
    pub fn sweep(&mut self, now: Instant) {
        let keep = |t: &Target| t.is_open(now) || t.running.get() > 0 || t.is_remembered(now);
        self.arena.retain(|_, t| keep(t));
        self.ids.retain(|_, key| self.arena.contains_key(*key));
    }

    fn set(&mut self, entry: &TargetEntry, now: Instant) {
        let known = self.ids.get(&entry.id).copied();
        if let Some(target) = known.and_then(|key| self.arena.get_mut(key)) {
            if !target.is_different_instance(entry) {
                target.set_entry(entry.clone(), now);
                return;
            }
            log::info!(target: "targets", "Target restarted. target={}", entry.id);
            target.availability = Availability::Closed;
            target.set_entry_removed(now);
        }
        log::info!(
            target: "targets",
            "Target added. target={} service={} version={} address={} leaving={}",
            entry.id, entry.service, entry.version, entry.address, entry.draining
        );
        let target = Target::new(entry.clone(), now);
        if self.is_complete {
            target.suspect_restart(now);
        }
        let key = self.arena.insert(target);
        self.ids.insert(entry.id.clone(), key);
    }

    fn remove(&mut self, id: &TargetId, now: Instant, recovered_at: Option<Instant>) {
        let Some(target) = self.ids.get(id).and_then(|key| self.arena.get_mut(*key)) else {
            return;
        };
        target.set_entry_removed(now);
        if target.availability != Availability::Open {
            return;
        }
        let until = recovered_at.map(|at| at + Duration::from_millis(REAPPEAR_MS));
        let until = until.filter(|until| *until > now);
        target.availability = until.map_or(Availability::Closed, Availability::Missing);
        log::info!(target: "targets", "Entry gone. target={id} lapsed={}", until.is_some());
    }

    /// Keeps a target available until the given time although its entry is missing.
    fn mark_missing(&mut self, id: &TargetId, until: Instant) {
        let target = self.ids.get(id).and_then(|key| self.arena.get_mut(*key));
        if let Some(target) = target.filter(|t| t.availability == Availability::Open) {
            target.availability = Availability::Missing(until);
        }
    }

    fn mark_closed(&mut self, id: &TargetId) {
        let target = self.ids.get(id).and_then(|key| self.arena.get_mut(*key));
        if let Some(target) = target {
            target.availability = Availability::Closed;
        }
    }
}
