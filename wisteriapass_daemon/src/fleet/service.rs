//! Members, peers' revisions and partners of this process, and its answers to heartbeats.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use flume::{Receiver, Sender};
use parking_lot::Mutex;
use wisteriapass_config::{Document, Settings};
use wisteriapass_coord::membership::{
    Announcement, AnnouncementOutcome, Incarnation, LeavingCause, ListedVm, MarkDigest,
    MemberState, Membership, PlannedMember, Timeouts,
};
use wisteriapass_coord::revision::{Catalogue, ConfigRevision};

use crate::fleet::partners::{Partners, control_address};
use crate::fleet::{ConfigInForce, LocalMember, ReceivedLoad};
use crate::prelude::*;
use crate::rpc::{Heartbeat, HeartbeatAnswer};
use crate::shutdown::Shutdown;

/// Loads that wait to be taken in; a round of heartbeats brings fewer, and the next one brings
/// what had no room.
const MOST_LOADS: usize = 256;

/// Whether a member may be given new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// It was silent for a while; only if nobody else is fit.
    Doubtful,
    /// It is leaving.
    Leaving,
}

#[derive(Default)]
struct State {
    members: Membership,
    peers: Catalogue,
    partners: Partners,
    /// Control addresses of those who sent heartbeats, to be told when this process leaves.
    listeners: BTreeSet<SocketAddr>,
    /// Who sent a heartbeat with a newer revision than ours.
    ahead: Option<SocketAddr>,
    /// Revision that each partner was last told of; who is told has the time to fetch it.
    told: HashMap<SocketAddr, ConfigRevision>,
    planned_at: u64,
}

/// The fleet as this process knows it.
pub struct Fleet {
    own: LocalMember,
    config: Arc<ConfigInForce>,
    stop: Arc<Shutdown>,
    state: Mutex<State>,
    tell: Sender<()>,
    told: Receiver<()>,
    hear_load: Sender<ReceivedLoad>,
    loads: Receiver<ReceivedLoad>,
}

impl Service for Fleet {
    const NAME: &'static str = "fleet";
}

impl Fleet {
    /// Creates the fleet of a process that knows nobody yet.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(
        kernel: &Kernel,
        settings: &Settings,
        incarnation: Incarnation,
    ) -> crate::kernel::Result<Self> {
        let (tell, told) = flume::bounded(1);
        let (hear_load, loads) = flume::bounded(MOST_LOADS);
        Ok(Self {
            tell,
            told,
            hear_load,
            loads,
            own: LocalMember::new(settings, incarnation),
            config: kernel.find()?,
            stop: kernel.find()?,
            state: Mutex::default(),
        })
    }

    /// Has the partners told at once, ahead of the next heartbeat.
    pub fn request_heartbeats(&self) {
        // A round that is due already carries the news.
        let _ = self.tell.try_send(());
    }

    /// Returns the channel that asks for a round of heartbeats at once.
    pub fn heartbeat_requests(&self) -> &Receiver<()> {
        &self.told
    }

    /// Returns the channel of the targets' loads as they are heard.
    pub fn loads(&self) -> &Receiver<ReceivedLoad> {
        &self.loads
    }

    /// Returns what this process says of itself.
    pub fn announcement(&self) -> Announcement {
        let revision = self.config.revision();
        self.own.announcement(revision, self.stop.is_requested())
    }

    /// Returns a heartbeat to send.
    pub fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            from: self.announcement(),
            marks: self.state.lock().members.digest(now),
        }
    }

    /// Answers a heartbeat.
    pub fn answer_heartbeat(&self, beat: &Heartbeat, now: Instant) -> HeartbeatAnswer {
        let superseded = self.hear(&beat.from, &beat.marks, now);
        let mut state = self.state.lock();
        if let Some(control) = control_address(&self.config.document().inventory, &beat.from.name) {
            state.listeners.insert(control);
            if beat.from.revision.0 > self.config.revision() && state.ahead.is_none() {
                state.ahead = Some(control);
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

    /// Returns who is known to be ahead, once.
    pub fn take_newer_sender(&self) -> Option<SocketAddr> {
        self.state.lock().ahead.take()
    }

    /// Returns whether a partner that is behind had been told of this revision before, so that it
    /// cannot fetch it by itself: it may not know our address yet.
    pub fn was_notified(&self, partner: SocketAddr, revision: ConfigRevision) -> bool {
        let told = self.state.lock().told.insert(partner, revision);
        told == Some(revision)
    }

    /// Takes the answer to a heartbeat of this process.
    pub fn handle_answer(&self, answer: &HeartbeatAnswer, now: Instant) {
        self.hear(&answer.from, &answer.marks, now);
        if let Some(load) = answer.load {
            let heard = ReceivedLoad::new(&answer.from, load, now);
            let _ = self.hear_load.try_send(heard);
        }
        let Some(newer) = answer.superseded else {
            return;
        };
        if self.config.is_ready() {
            log::error!(target: "fleet", "Replaced by a newer process; stopping. newer={newer}");
            self.stop.request();
        } else {
            log::warn!(target: "fleet", "Clock behind the predecessor's. known={newer}");
            self.own.advance_past(newer);
        }
    }

    /// Hears a member; returns the newer incarnation if the member was replaced.
    fn hear(&self, said: &Announcement, marks: &MarkDigest, now: Instant) -> Option<Incarnation> {
        if self.own.is_other_incarnation(said) {
            let own = self.announcement().incarnation;
            return (own > said.incarnation).then_some(own);
        }
        let mut state = self.state.lock();
        // Marks are rare; relayed at once they are round the fleet in a few steps.
        if state.members.apply_digest(marks, now) > 0 {
            self.request_heartbeats();
        }
        let heard = state.members.apply_announcement(said, now);
        if let AnnouncementOutcome::Superseded(newer) = heard {
            return Some(newer);
        }
        state
            .peers
            .note(&said.name, said.incarnation, said.revision);
        for change in state.members.take_transitions(now) {
            let (name, from, to) = (change.name, change.from, change.to);
            log::info!(target: "fleet", "Member changed. name={name} from={from:?} to={to:?}");
        }
        None
    }

    /// Takes the configuration in force, if it changed: plans, drains and partners.
    pub fn apply_config(&self) {
        let document = self.config.document();
        let own = self.announcement();
        let mut state = self.state.lock();
        if document.revision <= state.planned_at {
            return;
        }
        state.planned_at = document.revision;
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
        state.members.apply_inventory(planned(&document));
        state
            .peers
            .retain(|name| control_address(&document.inventory, name).is_some());
    }

    /// Takes the platform's VM list.
    pub fn read_vm_list(&self, list: &[ListedVm], now: Instant) {
        let mut state = self.state.lock();
        if state.members.apply_vm_list(list, now) > 0 {
            self.request_heartbeats();
        }
        let own = self.announcement();
        // Its own incarnation is a member too, so that the list's word on its VM reaches it.
        state.members.apply_announcement(&own, now);
    }

    /// Returns whether a target may be given new work.
    pub fn eligibility(&self, name: &str, now: Instant) -> Eligibility {
        let state = self.state.lock();
        if state.members.is_leaving(name) {
            return Eligibility::Leaving;
        }
        // Silence means something only from those who are asked.
        let is_asked = state.partners.contains(name);
        match state.members.state(name, now) {
            Some(MemberState::Suspect | MemberState::Gone) if is_asked => Eligibility::Doubtful,
            _ => Eligibility::Eligible,
        }
    }

    /// Returns the targets that get no new work now: those that are leaving, and the silent ones
    /// unless all are.
    pub fn targets_without_new_work(&self, document: &Document, now: Instant) -> Vec<String> {
        let targets = &document.inventory.target;
        let fits: Vec<(&str, Eligibility)> = targets
            .iter()
            .map(|t| (t.name.as_str(), self.eligibility(&t.name, now)))
            .collect();
        let worst = match fits.iter().any(|(_, fit)| *fit == Eligibility::Eligible) {
            true => Eligibility::Eligible,
            // All are silent: the fault is more likely here than at every one of them.
            false => Eligibility::Doubtful,
        };
        let without = fits.iter().filter(|(_, fit)| *fit > worst);
        without.map(|(name, _)| (*name).to_owned()).collect()
    }

    /// Returns who said that this process is leaving, if anybody did.
    pub fn own_leaving_cause(&self) -> Option<LeavingCause> {
        if self.stop.is_requested() {
            return Some(LeavingCause::Announced);
        }
        let own = self.announcement();
        let document = self.config.document();
        let planned = document.inventory.target_named(&own.name);
        if planned.is_some_and(|t| document.inventory.is_emptied(t)) {
            return Some(LeavingCause::Inventory);
        }
        self.state
            .lock()
            .members
            .leaving_cause(&own.name, own.incarnation)
    }

    /// Returns the partners.
    pub fn partners(&self) -> Partners {
        self.state.lock().partners.clone()
    }

    /// Returns everybody who has to hear that this process leaves.
    pub fn leave_recipients(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        let mut all = state.listeners.clone();
        all.extend(state.partners.addresses());
        all.into_iter().collect()
    }

    /// Returns how many known members have at least `revision`, and how many are known.
    pub fn spread(&self, revision: u64) -> (usize, usize) {
        self.state.lock().peers.spread(ConfigRevision(revision))
    }
}

fn planned(document: &Document) -> impl Iterator<Item = PlannedMember<'_>> {
    let routers = document.inventory.router.iter().map(|r| PlannedMember {
        name: &r.name,
        draining: false,
    });
    let targets = document.inventory.target.iter().map(|t| PlannedMember {
        name: &t.name,
        draining: document.inventory.is_emptied(t),
    });
    routers.chain(targets)
}
