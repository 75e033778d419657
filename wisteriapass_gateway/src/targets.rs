//! The targets that this router knows, by service.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use slotmap::SlotMap;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::platform::Change;
use crate::target::{Availability, Target, TargetEntry, TargetId, TargetKey};

/// Time that an entry may be missing after the service answers again, in milliseconds: the
/// platform says that targets that live are back about two seconds after its return, of which
/// some have passed by then; a target that left meanwhile may get no work for longer.
const REAPPEAR_MS: u64 = 2_000;

/// Arena of targets.
#[derive(Debug, Default)]
pub struct Targets {
    arena: SlotMap<TargetKey, Target>,
    ids: HashMap<TargetId, TargetKey>,
    /// Failure domains to whose targets nothing new goes.
    evacuated: BTreeSet<String>,
    /// Whether a whole state was taken in.
    is_complete: bool,
}

impl Targets {
    /// Returns a target; `None` after it was forgotten.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Returns the targets of a service that may get new work.
    pub fn available(&self, service: &str, now: Instant) -> SmallVec<[(TargetKey, &Target); 32]> {
        let fits = |t: &Target| t.entry.service == service && self.accepts_requests(t, now);
        self.arena.iter().filter(|(_, t)| fits(t)).collect()
    }

    /// Returns whether a target may get new work.
    pub fn accepts_requests(&self, target: &Target, now: Instant) -> bool {
        target.is_open(now) && !self.evacuated.contains(&target.entry.failure_domain)
    }

    /// Sets which failure domains are evacuated; targets of one that is not any more may be cold.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<String>, now: Instant) {
        let before = std::mem::replace(&mut self.evacuated, evacuated.clone());
        let is_restored = |t: &Target| {
            before.contains(&t.entry.failure_domain)
                && !self.evacuated.contains(&t.entry.failure_domain)
        };
        let restored = self.arena.values().filter(|t| is_restored(t));
        restored.for_each(|t| t.suspect_restart(now));
    }

    /// Takes a change in; entries that go within `LAPSE_MS` of `recovered_at` may come back.
    pub fn apply(&mut self, change: &Change, now: Instant, recovered_at: Option<Instant>) {
        match change {
            Change::Target(entry) => self.set(entry, now),
            Change::Removed(id) => self.remove(id, now, recovered_at),
            Change::Invalid(id) => {
                log::warn!(target: "targets", "Entry unusable. target={id}");
                self.mark_closed(id);
            }
            Change::Missing(id, until) => self.mark_missing(id, *until),
            Change::Configuration(_) | Change::Evacuated(_) | Change::Restored(_) => {}
        }
    }

    /// Notes that another target is at a target's address: this one is gone.
    pub fn mark_replaced(&mut self, key: TargetKey) {
        if let Some(target) = self.arena.get_mut(key) {
            log::info!(target: "targets", "Address has another target. target={}", target.entry.id);
            target.availability = Availability::Closed;
        }
    }

    /// Returns until when a target may get work though its entry is missing.
    pub fn missing_until(&self, id: &TargetId) -> Option<Instant> {
        let target = self.ids.get(id).and_then(|key| self.arena.get(*key))?;
        match target.availability {
            Availability::Missing(until) => Some(until),
            Availability::Open | Availability::Closed => None,
        }
    }

    /// Takes the whole state in: entries that are not in it are gone.
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

    /// Forgets targets that are closed and have nothing of this router under way.
    pub fn sweep(&mut self, now: Instant) {
        let keep = |t: &Target| t.is_open(now) || t.running.get() > 0 || t.entry.draining;
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
            log::info!(target: "targets", "Target started anew. target={}", entry.id);
            target.availability = Availability::Closed;
        }
        log::info!(
            target: "targets",
            "Target known. target={} service={} address={} leaving={}",
            entry.id, entry.service, entry.address, entry.draining
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
        if target.availability != Availability::Open {
            return;
        }
        let until = recovered_at.map(|at| at + Duration::from_millis(REAPPEAR_MS));
        let until = until.filter(|until| *until > now);
        target.availability = until.map_or(Availability::Closed, Availability::Missing);
        log::info!(target: "targets", "Entry gone. target={id} lapsed={}", until.is_some());
    }

    /// Lets a target have work until a time though its entry is missing.
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
