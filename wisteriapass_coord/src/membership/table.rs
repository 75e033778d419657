//! The members as one process knows them, from announcements, peers, the VM list and the inventory.

use std::collections::HashMap;
use std::time::Instant;

use slotmap::SlotMap;

use crate::membership::{
    Announcement, AnnouncementOutcome, Incarnation, LeavingCause, LeavingMark, ListedVm,
    MAX_DIGEST_MARKS, MarkDigest, Member, MemberId, MemberRole, MemberState, PlannedMember,
    Timeouts, Transition, VmState,
};

/// Most names with a leaving mark that is kept; twice the members of the planned size.
const MAX_MARKS: usize = 8_192;

/// A mark with how it is relayed.
#[derive(Clone, Debug)]
struct Known {
    mark: LeavingMark,
    relay_until: Instant,
    relayed: u32,
}

/// Members known to one process.
///
/// A leaving mark belongs to one incarnation and is never undone; the first word wins. One mark is
/// kept for each name, also of members not heard of yet. Incarnations of a name only grow.
#[derive(Debug, Default)]
pub struct Membership {
    timeouts: Timeouts,
    members: SlotMap<MemberId, Member>,
    by_name: HashMap<String, MemberId>,
    marks: HashMap<String, Known>,
    leaving_vms: Vec<String>,
    draining: Vec<String>,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new(timeouts: Timeouts) -> Self {
        Self {
            timeouts,
            ..Self::default()
        }
    }

    /// Takes a member's own word, heard directly at `now`.
    pub fn apply_announcement(&mut self, said: &Announcement, now: Instant) -> AnnouncementOutcome {
        if let Some(newer) = self.newer_than(said) {
            return AnnouncementOutcome::Superseded(newer);
        }
        let heard = self.store(said, now);
        if said.leaving {
            self.mark(said, LeavingCause::Announced, now);
        }
        self.apply_mark(&said.name);
        heard
    }

    /// Takes the marks that a peer relayed; returns how many were news.
    pub fn apply_digest(&mut self, digest: &MarkDigest, now: Instant) -> usize {
        let read = digest.iter().take(MAX_DIGEST_MARKS);
        read.filter(|mark| self.insert_mark(mark, now)).count()
    }

    /// Takes the platform's VM list.
    ///
    /// The list lags, so a VM called leaving marks the incarnation known now. An incarnation first
    /// heard of later may be the replacement under the same name: it is held back while the list
    /// says so, without a mark.
    ///
    /// Returns how many marks were news.
    pub fn apply_vm_list(&mut self, list: &[ListedVm], now: Instant) -> usize {
        let leaving = |vm: &&ListedVm| vm.state != VmState::Live;
        let names: Vec<String> = list.iter().filter(leaving).map(|l| l.vm.clone()).collect();
        let before = std::mem::replace(&mut self.leaving_vms, names);
        let news: Vec<Announcement> = self
            .members
            .values()
            .filter(|m| {
                self.leaving_vms.contains(&m.announcement.vm)
                    && !before.contains(&m.announcement.vm)
            })
            .map(|m| m.announcement.clone())
            .collect();
        for member in self.members.values_mut() {
            member.held_by_list &= self.leaving_vms.contains(&member.announcement.vm);
        }
        let marked = |said: &&Announcement| self.mark(said, LeavingCause::VmList, now);
        news.iter().filter(marked).count()
    }

    /// Takes the members that the configuration in force plans; forgets names that it dropped.
    ///
    /// A drain is no mark: operators take a target back by their next edit, and as revisions only
    /// grow no lagging word can undo it or bring it back.
    pub fn apply_inventory<'a>(&mut self, plan: impl Iterator<Item = PlannedMember<'a>>) {
        let plan: HashMap<&str, bool> = plan.map(|p| (p.name, p.draining)).collect();
        self.draining = plan
            .iter()
            .filter(|(_, draining)| **draining)
            .map(|(name, _)| (*name).to_owned())
            .collect();
        self.by_name.retain(|n, _| plan.contains_key(n.as_str()));
        self.members
            .retain(|_, m| plan.contains_key(m.announcement.name.as_str()));
    }

    /// Returns the marks to relay in the next message: those that were relayed least first.
    pub fn digest(&mut self, now: Instant) -> MarkDigest {
        let fresh = |k: &&mut Known| now < k.relay_until;
        let mut fresh: Vec<&mut Known> = self.marks.values_mut().filter(fresh).collect();
        fresh.sort_by(|a, b| (a.relayed, &a.mark.name).cmp(&(b.relayed, &b.mark.name)));
        let chosen = fresh.into_iter().take(MAX_DIGEST_MARKS);
        let marks = chosen.map(|k| {
            k.relayed += 1;
            k.mark.clone()
        });
        MarkDigest::from(marks.collect::<Vec<_>>())
    }

    /// Returns the member of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name).and_then(|id| self.members.get(*id))
    }

    /// Returns the member with this key, unless it was replaced or dropped.
    pub fn member_by_id(&self, id: MemberId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the state of this name at `now`; none if never heard of.
    pub fn state(&self, name: &str, now: Instant) -> Option<MemberState> {
        if let Some(member) = self.member(name) {
            return Some(member.state(now));
        }
        self.marks.get(name).map(|_| MemberState::Leaving)
    }

    /// Returns whether new work may go to this name; a name never heard of may be tried.
    pub fn may_get_work(&self, name: &str, now: Instant) -> bool {
        let state = self.state(name, now).unwrap_or(MemberState::Live);
        state == MemberState::Live && !self.is_leaving(name)
    }

    /// Returns whether any word says that this name is leaving, however long it is silent.
    pub fn is_leaving(&self, name: &str) -> bool {
        let is_planned = self.draining.iter().any(|d| d == name);
        let said = match self.member(name) {
            Some(member) => member.leaving_cause.is_some() || member.held_by_list,
            None => self.marks.contains_key(name),
        };
        is_planned || said
    }

    /// Sets the timeouts, for deadlines from now on.
    pub fn set_timeouts(&mut self, timeouts: Timeouts) {
        self.timeouts = timeouts;
    }

    /// Returns the mark of this incarnation of a name, for the process that bears the name.
    pub fn leaving_cause(&self, name: &str, incarnation: Incarnation) -> Option<LeavingCause> {
        let known = self.marks.get(name)?;
        (known.mark.incarnation == incarnation).then_some(known.mark.cause)
    }

    /// Returns all members of a role.
    pub fn members(&self, role: MemberRole) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |m| m.announcement.role == role)
    }

    /// Returns the members whose state changed since the last call.
    pub fn take_transitions(&mut self, now: Instant) -> Vec<Transition> {
        let mut changed = Vec::new();
        for member in self.members.values_mut() {
            let to = member.state(now);
            let from = std::mem::replace(&mut member.reported, to);
            if from != to {
                let name = member.announcement.name.clone();
                changed.push(Transition { name, from, to });
            }
        }
        changed
    }

    /// Returns the newer incarnation that holds the announced name, from members or marks.
    fn newer_than(&self, said: &Announcement) -> Option<Incarnation> {
        let member = self.member(&said.name).map(|m| m.announcement.incarnation);
        let mark = self.marks.get(&said.name).map(|k| k.mark.incarnation);
        member.max(mark).filter(|known| *known > said.incarnation)
    }

    fn store(&mut self, said: &Announcement, now: Instant) -> AnnouncementOutcome {
        let Some(&id) = self.by_name.get(&said.name) else {
            return AnnouncementOutcome::New(self.add(said, now));
        };
        let member = &mut self.members[id];
        if member.announcement.incarnation == said.incarnation {
            let revision = member.announcement.revision.max(said.revision);
            member.announcement = said.clone();
            member.announcement.revision = revision;
            member.touch(now, &self.timeouts);
            return AnnouncementOutcome::Known(id);
        }
        let old = member.announcement.incarnation;
        self.members.remove(id);
        AnnouncementOutcome::Replaced(self.add(said, now), old)
    }

    fn add(&mut self, said: &Announcement, now: Instant) -> MemberId {
        let mut member = Member::new(said.clone(), now, &self.timeouts);
        member.held_by_list = self.leaving_vms.contains(&said.vm);
        let id = self.members.insert(member);
        self.by_name.insert(said.name.clone(), id);
        id
    }

    fn mark(&mut self, said: &Announcement, cause: LeavingCause, now: Instant) -> bool {
        let mark = LeavingMark {
            name: said.name.clone(),
            incarnation: said.incarnation,
            cause,
        };
        self.insert_mark(&mark, now)
    }

    /// Keeps a mark unless one for this or a newer incarnation stands; returns whether it was news.
    fn insert_mark(&mut self, mark: &LeavingMark, now: Instant) -> bool {
        let member = self.member(&mark.name).map(|m| m.announcement.incarnation);
        let stood = self.marks.get(&mark.name).map(|k| k.mark.incarnation);
        let is_old = member.is_some_and(|i| i > mark.incarnation)
            || stood.is_some_and(|i| i >= mark.incarnation);
        let is_full = stood.is_none() && member.is_none() && self.marks.len() >= MAX_MARKS;
        if is_old || is_full {
            return false;
        }
        let known = Known {
            mark: mark.clone(),
            relay_until: now + self.timeouts.relay_for,
            relayed: 0,
        };
        self.marks.insert(mark.name.clone(), known);
        self.apply_mark(&mark.name);
        true
    }

    /// Copies the mark of a name to its member, if it is of the same incarnation or a newer one.
    fn apply_mark(&mut self, name: &str) {
        let Some(known) = self.marks.get(name) else {
            return;
        };
        let Some(member) = self
            .by_name
            .get(name)
            .and_then(|id| self.members.get_mut(*id))
        else {
            return;
        };
        if member.announcement.incarnation <= known.mark.incarnation {
            member.leaving_cause.get_or_insert(known.mark.cause);
        }
    }
}
