//! Members known to a process from announcements, peers, the VM list and the inventory.

use std::collections::HashMap;
use std::time::Instant;

use slotmap::SlotMap;

use crate::membership::{
    Announcement, AnnouncementOutcome, Incarnation, LeavingCause, LeavingMark, ListedVm,
    MAX_DIGEST_MARKS, MarkDigest, Member, MemberId, MemberRole, MemberState, PlannedMember,
    Timeouts, Transition, VmState,
};

/// Maximum number of names with a leaving mark; twice the number of members at the planned size.
const MAX_MARKS: usize = 8_192;

/// A leaving mark and the state of its relaying.
#[derive(Clone, Debug)]
struct RelayedMark {
    mark: LeavingMark,
    relay_until: Instant,
    relay_count: u32,
}

/// Members known to a process.
///
/// A leaving mark belongs to one incarnation and is irrevocable; the first cause is kept. At most
/// one mark is kept for each name, including names of members that have not announced themselves
/// yet. The incarnation of a name never decreases.
#[derive(Debug, Default)]
pub struct Membership {
    timeouts: Timeouts,
    members: SlotMap<MemberId, Member>,
    by_name: HashMap<String, MemberId>,
    marks: HashMap<String, RelayedMark>,
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

    /// Applies a member's announcement, received from the member itself at `now`.
    pub fn apply_announcement(
        &mut self,
        announcement: &Announcement,
        now: Instant,
    ) -> AnnouncementOutcome {
        if let Some(newer) = self.newer_incarnation(announcement) {
            return AnnouncementOutcome::Superseded(newer);
        }
        let outcome = self.update_member(announcement, now);
        if announcement.leaving {
            self.mark_leaving(announcement, LeavingCause::Announced, now);
        }
        self.apply_mark(&announcement.name);
        outcome
    }

    /// Applies the marks that a peer relayed; returns the number of new marks.
    pub fn apply_digest(&mut self, digest: &MarkDigest, now: Instant) -> usize {
        let accepted = digest.iter().take(MAX_DIGEST_MARKS);
        accepted.filter(|mark| self.insert_mark(mark, now)).count()
    }

    /// Applies the platform's VM list; returns the number of new marks.
    ///
    /// A VM newly listed as leaving marks the incarnation known at that time. As the list lags, an
    /// incarnation that becomes known later may be the replacement under the same name. It gets no
    /// mark, but is treated as leaving while the list shows its VM as leaving.
    pub fn apply_vm_list(&mut self, list: &[ListedVm], now: Instant) -> usize {
        let leaving = |vm: &&ListedVm| vm.state != VmState::Live;
        let names: Vec<String> = list.iter().filter(leaving).map(|l| l.vm.clone()).collect();
        let before = std::mem::replace(&mut self.leaving_vms, names);
        let newly_leaving: Vec<Announcement> = self
            .members
            .values()
            .filter(|m| {
                self.leaving_vms.contains(&m.announcement.vm)
                    && !before.contains(&m.announcement.vm)
            })
            .map(|m| m.announcement.clone())
            .collect();
        for member in self.members.values_mut() {
            member.is_listed_leaving &= self.leaving_vms.contains(&member.announcement.vm);
        }
        let is_new = |a: &&Announcement| self.mark_leaving(a, LeavingCause::VmList, now);
        newly_leaving.iter().filter(is_new).count()
    }

    /// Applies the members planned by the configuration in force, and removes all others.
    ///
    /// A drain sets no leaving mark, because operators may end it with a later edit. Since
    /// configuration revisions only increase, outdated information can neither undo a drain nor
    /// bring it back.
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

    /// Returns the marks to relay in the next message, least relayed marks first.
    pub fn digest(&mut self, now: Instant) -> MarkDigest {
        let is_due = |m: &&mut RelayedMark| now < m.relay_until;
        let mut due: Vec<&mut RelayedMark> = self.marks.values_mut().filter(is_due).collect();
        due.sort_by(|a, b| (a.relay_count, &a.mark.name).cmp(&(b.relay_count, &b.mark.name)));
        let chosen = due.into_iter().take(MAX_DIGEST_MARKS);
        let marks = chosen.map(|m| {
            m.relay_count += 1;
            m.mark.clone()
        });
        MarkDigest::from(marks.collect::<Vec<_>>())
    }

    /// Returns the member with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name).and_then(|id| self.members.get(*id))
    }

    /// Returns the member with this key, unless it was replaced or removed.
    pub fn member_by_id(&self, id: MemberId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the state of this name at `now`, or `None` if nothing is known of it.
    pub fn state(&self, name: &str, now: Instant) -> Option<MemberState> {
        if let Some(member) = self.member(name) {
            return Some(member.state(now));
        }
        self.marks.get(name).map(|_| MemberState::Leaving)
    }

    /// Returns whether new work may be sent to this name; unknown names may be tried.
    pub fn may_get_work(&self, name: &str, now: Instant) -> bool {
        let state = self.state(name, now).unwrap_or(MemberState::Live);
        state == MemberState::Live && !self.is_leaving(name)
    }

    /// Returns whether any source says that this name is leaving, however long it has been silent.
    pub fn is_leaving(&self, name: &str) -> bool {
        let is_draining = self.draining.iter().any(|d| d == name);
        let is_marked = match self.member(name) {
            Some(member) => member.leaving_cause.is_some() || member.is_listed_leaving,
            None => self.marks.contains_key(name),
        };
        is_draining || is_marked
    }

    /// Sets the timeouts for deadlines computed from now on.
    pub fn set_timeouts(&mut self, timeouts: Timeouts) {
        self.timeouts = timeouts;
    }

    /// Returns the cause of the leaving mark of this incarnation, so that a process can look up its
    /// own.
    pub fn leaving_cause(&self, name: &str, incarnation: Incarnation) -> Option<LeavingCause> {
        let relayed = self.marks.get(name)?;
        (relayed.mark.incarnation == incarnation).then_some(relayed.mark.cause)
    }

    /// Returns all members with this role.
    pub fn members(&self, role: MemberRole) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |m| m.announcement.role == role)
    }

    /// Returns the state transitions since the last call.
    pub fn take_transitions(&mut self, now: Instant) -> Vec<Transition> {
        let mut changed = Vec::new();
        for member in self.members.values_mut() {
            let to = member.state(now);
            let from = std::mem::replace(&mut member.reported_state, to);
            if from != to {
                let name = member.announcement.name.clone();
                changed.push(Transition { name, from, to });
            }
        }
        changed
    }

    /// Returns the newer incarnation that holds the announced name, from members or marks.
    fn newer_incarnation(&self, announced: &Announcement) -> Option<Incarnation> {
        let member = self
            .member(&announced.name)
            .map(|m| m.announcement.incarnation);
        let mark = self.marks.get(&announced.name).map(|m| m.mark.incarnation);
        member
            .max(mark)
            .filter(|known| *known > announced.incarnation)
    }

    fn update_member(&mut self, announced: &Announcement, now: Instant) -> AnnouncementOutcome {
        let Some(&id) = self.by_name.get(&announced.name) else {
            return AnnouncementOutcome::New(self.insert_member(announced, now));
        };
        let member = &mut self.members[id];
        if member.announcement.incarnation == announced.incarnation {
            let revision = member.announcement.revision.max(announced.revision);
            member.announcement = announced.clone();
            member.announcement.revision = revision;
            member.extend_deadlines(now, &self.timeouts);
            return AnnouncementOutcome::Known(id);
        }
        let old = member.announcement.incarnation;
        self.members.remove(id);
        AnnouncementOutcome::Replaced(self.insert_member(announced, now), old)
    }

    fn insert_member(&mut self, announced: &Announcement, now: Instant) -> MemberId {
        let mut member = Member::new(announced.clone(), now, &self.timeouts);
        member.is_listed_leaving = self.leaving_vms.contains(&announced.vm);
        let id = self.members.insert(member);
        self.by_name.insert(announced.name.clone(), id);
        id
    }

    fn mark_leaving(
        &mut self,
        announced: &Announcement,
        cause: LeavingCause,
        now: Instant,
    ) -> bool {
        let mark = LeavingMark {
            name: announced.name.clone(),
            incarnation: announced.incarnation,
            cause,
        };
        self.insert_mark(&mark, now)
    }

    /// Adds a mark; returns whether it is new.
    ///
    /// The mark is ignored if the same or a newer incarnation is marked or a newer one is a member,
    /// or if there are too many marks.
    fn insert_mark(&mut self, mark: &LeavingMark, now: Instant) -> bool {
        let member = self.member(&mark.name).map(|m| m.announcement.incarnation);
        let marked = self.marks.get(&mark.name).map(|m| m.mark.incarnation);
        let is_outdated = member.is_some_and(|i| i > mark.incarnation)
            || marked.is_some_and(|i| i >= mark.incarnation);
        let is_full = marked.is_none() && member.is_none() && self.marks.len() >= MAX_MARKS;
        if is_outdated || is_full {
            return false;
        }
        let relayed = RelayedMark {
            mark: mark.clone(),
            relay_until: now + self.timeouts.relay_for,
            relay_count: 0,
        };
        self.marks.insert(mark.name.clone(), relayed);
        self.apply_mark(&mark.name);
        true
    }

    /// Copies the mark of a name to its member if the mark is for the same or a newer incarnation.
    fn apply_mark(&mut self, name: &str) {
        let Some(relayed) = self.marks.get(name) else {
            return;
        };
        let Some(member) = self
            .by_name
            .get(name)
            .and_then(|id| self.members.get_mut(*id))
        else {
            return;
        };
        if member.announcement.incarnation <= relayed.mark.incarnation {
            member.leaving_cause.get_or_insert(relayed.mark.cause);
        }
    }
}
