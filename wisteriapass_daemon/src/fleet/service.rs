//! Members of the fleet, their revisions, the partners of this process, and its answers to
//! heartbeats.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use flume::{Receiver, Sender};
use parking_lot::Mutex;
use wisteriapass_config::{Document, Settings};
use wisteriapass_coord::membership::{
    Announcement, AnnouncementOutcome, Incarnation, LeavingCause, ListedVm, MarkDigest,
    MemberState, Membership, PlannedMember, Timeouts,
};
use wisteriapass_coord::revision::{ConfigRevision, PeerRevisions};

use crate::fleet::partners::{Partners, control_address};
use crate::fleet::{ConfigInForce, LocalMember, ReceivedLoad};
use crate::prelude::*;
use crate::rpc::{Heartbeat, HeartbeatAnswer};
use crate::shutdown::Shutdown;

/// Maximum number of queued loads. A round of heartbeats brings fewer, and a load that did not fit
/// comes again with the next round.
const MAX_QUEUED_LOADS: usize = 256;

/// Whether a member may be given new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eligibility {
    /// It may be given new work.
    Eligible,
    /// It has been silent; it gets new work only if no member is eligible.
    Doubtful,
    /// It is leaving and gets no new work.
    Leaving,
}

#[derive(Default)]
struct State {
    members: Membership,
    peers: PeerRevisions,
    partners: Partners,
    /// Control addresses of the members that sent heartbeats. They are notified when this process
    /// leaves.
    heartbeat_senders: BTreeSet<SocketAddr>,
    /// Control address of a member that sent a heartbeat with a newer revision than ours.
    newer_sender: Option<SocketAddr>,
    /// Revision that each partner was last notified of, after which it has time to fetch it.
    notified: HashMap<SocketAddr, ConfigRevision>,
    /// Revision that the members and partners were last updated to.
    applied_revision: u64,
}

/// The members of the fleet as this process knows them.
pub struct Fleet {
    own: LocalMember,
    config: Arc<ConfigInForce>,
    shutdown: Arc<Shutdown>,
    state: Mutex<State>,
    heartbeat_request_tx: Sender<()>,
    heartbeat_request_rx: Receiver<()>,
    load_tx: Sender<ReceivedLoad>,
    load_rx: Receiver<ReceivedLoad>,
}

impl Service for Fleet {
    const NAME: &'static str = "fleet";
}

impl Fleet {
    /// Creates the fleet of a process that knows no other members yet.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(
        kernel: &Kernel,
        settings: &Settings,
        incarnation: Incarnation,
    ) -> crate::kernel::Result<Self> {
        let (heartbeat_request_tx, heartbeat_request_rx) = flume::bounded(1);
        let (load_tx, load_rx) = flume::bounded(MAX_QUEUED_LOADS);
        Ok(Self {
            heartbeat_request_tx,
            heartbeat_request_rx,
            load_tx,
            load_rx,
            own: LocalMember::new(settings, incarnation),
            config: kernel.find()?,
            shutdown: kernel.find()?,
            state: Mutex::default(),
        })
    }

    /// Requests a round of heartbeats at once, ahead of the next period.
    pub fn request_heartbeats(&self) {
        // If the channel is full, a round is already requested and will carry the news.
        let _ = self.heartbeat_request_tx.try_send(());
    }

    /// Returns the channel of requests for a round of heartbeats.
    pub fn heartbeat_requests(&self) -> &Receiver<()> {
        &self.heartbeat_request_rx
    }

    /// Returns the channel of the loads that targets report.
    pub fn loads(&self) -> &Receiver<ReceivedLoad> {
        &self.load_rx
    }

    /// Returns the announcement of this process.
    pub fn announcement(&self) -> Announcement {
        let revision = self.config.revision();
        self.own
            .announcement(revision, self.shutdown.is_requested())
    }

    /// Returns a heartbeat to send.
    pub fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            from: self.announcement(),
            marks: self.state.lock().members.digest(now),
        }
    }

    /// Answers a heartbeat.
    pub fn answer_heartbeat(&self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatAnswer {
        let superseded = self.handle_announcement(&heartbeat.from, &heartbeat.marks, now);
        let mut state = self.state.lock();
        if let Some(control) =
            control_address(&self.config.document().inventory, &heartbeat.from.name)
        {
            state.heartbeat_senders.insert(control);
            if heartbeat.from.revision.0 > self.config.revision() && state.newer_sender.is_none() {
                state.newer_sender = Some(control);
                self.request_heartbeats();
            }
        }
        HeartbeatAnswer {
            from: self.announcement(),
            is_ready: self.config.is_ready(),
            superseded,
            marks: state.members.digest(now),
            load: None,
        }
    }

    /// Takes the address of a member that sent a heartbeat with a newer revision.
    pub fn take_newer_sender(&self) -> Option<SocketAddr> {
        self.state.lock().newer_sender.take()
    }

    /// Records that a partner with a lower revision is notified of ours. Returns whether it was
    /// notified of the same revision before and thus cannot fetch the document itself: it may not
    /// know our address yet.
    pub fn was_notified(&self, partner: SocketAddr, revision: ConfigRevision) -> bool {
        let previous = self.state.lock().notified.insert(partner, revision);
        previous == Some(revision)
    }

    /// Handles the answer to a heartbeat of this process.
    pub fn handle_answer(&self, answer: &HeartbeatAnswer, now: Instant) {
        self.handle_announcement(&answer.from, &answer.marks, now);
        if let Some(load) = answer.load {
            let received = ReceivedLoad::new(&answer.from, load, now);
            let _ = self.load_tx.try_send(received);
        }
        let Some(newer) = answer.superseded else {
            return;
        };
        if self.config.is_ready() {
            log::error!(target: "fleet", "Replaced by a newer process; stopping. newer={newer}");
            self.shutdown.request();
        } else {
            log::warn!(target: "fleet", "Clock behind the predecessor's. known={newer}");
            self.own.advance_past(newer);
        }
    }

    /// Handles the announcement of a member; returns the newer incarnation if it was replaced.
    fn handle_announcement(
        &self,
        announcement: &Announcement,
        marks: &MarkDigest,
        now: Instant,
    ) -> Option<Incarnation> {
        if self.own.is_other_incarnation(announcement) {
            let own = self.announcement().incarnation;
            return (own > announcement.incarnation).then_some(own);
        }
        let mut state = self.state.lock();
        // Marks are rare. Relaying them at once spreads them through the fleet in a few steps.
        if state.members.apply_digest(marks, now) > 0 {
            self.request_heartbeats();
        }
        let outcome = state.members.apply_announcement(announcement, now);
        if let AnnouncementOutcome::Superseded(newer) = outcome {
            return Some(newer);
        }
        state.peers.record(
            &announcement.name,
            announcement.incarnation,
            announcement.revision,
        );
        for transition in state.members.take_transitions(now) {
            let (name, from, to) = (transition.name, transition.from, transition.to);
            log::info!(target: "fleet", "Member changed. name={name} from={from:?} to={to:?}");
        }
        None
    }

    /// Applies the configuration in force if it changed: members, drains and partners.
    pub fn apply_config(&self) {
        let document = self.config.document();
        let own = self.announcement();
        let mut state = self.state.lock();
        if document.revision <= state.applied_revision {
            return;
        }
        state.applied_revision = document.revision;
        let partners = Partners::choose(
            &own.name,
            &own.failure_domain,
            own.role,
            &document.inventory,
        );
        state
            .members
            .set_timeouts(Timeouts::for_heartbeat_period(partners.period()));
        state.partners = partners;
        state.members.apply_inventory(planned_members(&document));
        state
            .peers
            .retain(|name| control_address(&document.inventory, name).is_some());
    }

    /// Applies the platform's VM list.
    pub fn apply_vm_list(&self, list: &[ListedVm], now: Instant) {
        let mut state = self.state.lock();
        if state.members.apply_vm_list(list, now) > 0 {
            self.request_heartbeats();
        }
        let own = self.announcement();
        // Adds this process as a member too, so that the list also applies to its own VM.
        state.members.apply_announcement(&own, now);
    }

    /// Returns whether a target may be given new work.
    pub fn eligibility(&self, name: &str, now: Instant) -> Eligibility {
        let state = self.state.lock();
        if state.members.is_leaving(name) {
            return Eligibility::Leaving;
        }
        // Silence matters only for members that this process sends heartbeats to.
        let is_partner = state.partners.contains(name);
        match state.members.state(name, now) {
            Some(MemberState::Suspect | MemberState::Gone) if is_partner => Eligibility::Doubtful,
            _ => Eligibility::Eligible,
        }
    }

    /// Returns the targets that get no new work now: those that are leaving, and the silent ones
    /// unless no target is eligible.
    pub fn targets_without_new_work(&self, document: &Document, now: Instant) -> Vec<String> {
        let targets = &document.inventory.target;
        let candidates: Vec<(&str, Eligibility)> = targets
            .iter()
            .map(|t| (t.name.as_str(), self.eligibility(&t.name, now)))
            .collect();
        let worst_allowed = match candidates
            .iter()
            .any(|(_, eligibility)| *eligibility == Eligibility::Eligible)
        {
            true => Eligibility::Eligible,
            // If all are silent, the fault is more likely here than at all of them.
            false => Eligibility::Doubtful,
        };
        let excluded = candidates
            .iter()
            .filter(|(_, eligibility)| *eligibility > worst_allowed);
        excluded.map(|(name, _)| (*name).to_owned()).collect()
    }

    /// Returns why this process is leaving, if it is.
    pub fn own_leaving_cause(&self) -> Option<LeavingCause> {
        if self.shutdown.is_requested() {
            return Some(LeavingCause::Announced);
        }
        let own = self.announcement();
        let document = self.config.document();
        let planned = document.inventory.target_named(&own.name);
        if planned.is_some_and(|t| document.inventory.is_draining(t)) {
            return Some(LeavingCause::Inventory);
        }
        self.state
            .lock()
            .members
            .leaving_cause(&own.name, own.incarnation)
    }

    /// Returns the partners of this process.
    pub fn partners(&self) -> Partners {
        self.state.lock().partners.clone()
    }

    /// Returns the addresses that have to be notified when this process leaves.
    pub fn leave_recipients(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        let mut recipients = state.heartbeat_senders.clone();
        recipients.extend(state.partners.addresses());
        recipients.into_iter().collect()
    }

    /// Returns the number of known members with at least `revision`, and of all known members.
    pub fn spread(&self, revision: u64) -> (usize, usize) {
        self.state
            .lock()
            .peers
            .count_at_least(ConfigRevision(revision))
    }
}

/// Returns the members in a configuration.
fn planned_members(document: &Document) -> impl Iterator<Item = PlannedMember<'_>> {
    let routers = document.inventory.router.iter().map(|r| PlannedMember {
        name: &r.name,
        draining: false,
    });
    let targets = document.inventory.target.iter().map(|t| PlannedMember {
        name: &t.name,
        draining: document.inventory.is_draining(t),
    });
    routers.chain(targets)
}
