//! The follower role: polls a relay for updates, and becomes a relay if none is available.

use tokio::sync::Notify;
use tokio::time::sleep;
use wisteriapass_coord::prepaid::ShareRecord;
use wisteriapass_coord::relay::{Candidacy, CandidateAction, KnownRelay, RelayStatus};

use super::limits;
use super::messages::{UPDATE_PATH, UpdateAnswer, UpdateCall};
use super::updates::apply_configuration;
use crate::change_log::TargetChangeSet;
use crate::ledger::KnownRecord;
use crate::platform::{RevisedChange, Topic};
use crate::prelude::*;
use crate::rpc::deadline_in;
use crate::store_watch::catch_up;

/// Interval between two update requests, in milliseconds. A follower learns that a target leaves
/// this much later than its relay, well within the target's grace period.
const POLL_MS: u64 = 150;

/// The same while no relay with recent updates is known, in milliseconds: each relay is tried in
/// turn.
const SEARCH_POLL_MS: u64 = 30;

/// Interval between two reads of the store itself while it answers but no relay does, in
/// milliseconds.
const CATCH_UP_INTERVAL_MS: u64 = 400;

/// Time within which an answer has to start, in milliseconds: many round trips within a region,
/// also to a relay on a busy VM.
const ANSWER_TIMEOUT_MS: u64 = 250;

/// Initial retry delay for the read of the relay list at the start, in milliseconds.
const START_RETRY_MS: u64 = 200;

/// Longest retry delay for that read, in milliseconds.
const MAX_START_RETRY_MS: u64 = 1_000;

/// Reads the list of relays; returns whether this router's VM is one of them because it held
/// shares.
pub async fn load_relays(gw: &Gateway) -> bool {
    let mut pause = START_RETRY_MS;
    loop {
        if let Some(record) = gw.ledger.read_relays(gw).await {
            return update_roster(gw, &record);
        }
        sleep(Duration::from_millis(pause)).await;
        pause = (pause * 2).min(MAX_START_RETRY_MS);
    }
}

/// Updates the roster from a record; returns whether this router's VM is a relay in it.
fn update_roster(gw: &Gateway, record: &ShareRecord) -> bool {
    let now_ms = gw.clock.now_ms();
    let listed = gw.ledger.relays_in(record);
    gw.ledger
        .roster
        .borrow_mut()
        .update_from_record(now_ms, listed);
    let mine = record.holder_entry(&gw.ledger.id());
    mine.is_some_and(|entry| entry.lends_at.is_some())
}

/// Follows relays until this router has become a relay itself; returns the known state of the
/// records.
///
/// What this router asks the store does not keep it from following: an answer of the store may take
/// seconds, and so may joining, as long as other routers' writes come first.
pub async fn follow_relays(gw: &Rc<Gateway>) -> Vec<KnownRecord> {
    let state = FollowerState {
        candidacy: RefCell::new(Candidacy::new(gw.settings.vm_size.is_strong())),
        polled: Notify::new(),
        is_joining: Cell::new(false),
    };
    tokio::select! {
        biased;
        known = become_relay(gw, &state) => known,
        () = poll_relays(gw, &state) => unreachable!("polls until it is dropped"),
        () = catch_up_without_relay(gw, &state) => unreachable!("repeats until it is dropped"),
    }
}

/// State that the parts of a follower's work share.
struct FollowerState {
    candidacy: RefCell<Candidacy>,
    /// Notified after each poll of a relay.
    polled: Notify,
    /// Whether this router registers as a relay.
    is_joining: Cell<bool>,
}

impl FollowerState {
    /// Returns whether the store answers this router.
    fn is_service_reachable(&self) -> bool {
        self.is_joining.get() || self.candidacy.borrow().is_service_reachable()
    }
}

/// Polls relays for updates forever.
async fn poll_relays(gw: &Gateway, state: &FollowerState) {
    loop {
        let is_recent = poll_relay(gw).await;
        state.polled.notify_one();
        sleep(poll_pause(is_recent)).await;
    }
}

/// Fetches changes from the store while it answers and no relay does; never returns.
async fn catch_up_without_relay(gw: &Gateway, state: &FollowerState) {
    loop {
        sleep(Duration::from_millis(CATCH_UP_INTERVAL_MS)).await;
        let is_following = gw.ledger.roster.borrow().is_following(gw.clock.now_ms());
        if !is_following && state.is_service_reachable() {
            tokio::join!(
                catch_up(gw, Topic::Targets),
                catch_up(gw, Topic::Configuration)
            );
        }
    }
}

/// Returns the pause before the next update request.
fn poll_pause(is_recent: bool) -> Duration {
    Duration::from_millis(if is_recent { POLL_MS } else { SEARCH_POLL_MS })
}

/// Requests updates from the current relay; returns whether its updates are recent.
async fn poll_relay(gw: &Gateway) -> bool {
    let relay = gw.ledger.roster.borrow_mut().choose(gw.clock.now_ms());
    let Some(relay) = relay else {
        return false;
    };
    let call = UpdateCall {
        follower: gw.ledger.id(),
        version: gw.catalogue().map_or(0, |c| c.version),
        targets_at: gw.target_log.borrow().cursor().revision,
        limits: limits::recent_limits(gw),
        quarantine: gw.quarantine.call_for(relay.address, false),
    };
    let until = deadline_in(ANSWER_TIMEOUT_MS);
    let polled_at = Instant::now();
    let polled_ms = gw.clock.now_ms();
    let answer: Option<UpdateAnswer> = gw
        .rpc
        .call_measured(relay.address, UPDATE_PATH, &call, until)
        .await;
    match answer {
        Some(answer) => {
            let (call, delta) = (&call.quarantine, &answer.quarantine);
            gw.quarantine.apply_answer(relay.address, call, delta);
            apply_configuration(gw, &relay.id, polled_at, &answer);
            apply_answer(gw, &relay, polled_ms, answer);
        }
        None => {
            let now_ms = gw.clock.now_ms();
            log::info!(
                target: "relay",
                "No answer of a relay. relay={} at={} after_ms={} loop_delay_ms={}",
                relay.id,
                relay.address,
                now_ms.saturating_sub(polled_ms),
                gw.loop_delay.get().delay_ms()
            );
            let mut roster = gw.ledger.roster.borrow_mut();
            roster.record_no_answer(&relay.id, now_ms);
        }
    }
    gw.ledger.roster.borrow().is_following(gw.clock.now_ms())
}

/// Applies all of a relay's answer but the configuration.
fn apply_answer(gw: &Gateway, relay: &KnownRelay, polled_ms: u64, answer: UpdateAnswer) {
    // The updates are as old as they were at the time of the request, however long the answer took.
    let now_ms = gw.clock.now_ms();
    let status = RelayStatus {
        as_of_ms: polled_ms,
        received_ms: now_ms,
        age_ms: answer.age_ms,
        is_leaving: answer.is_leaving,
    };
    let relays = answer.relays.into_iter().map(Into::into);
    let mut roster = gw.ledger.roster.borrow_mut();
    if !answer.is_leaving {
        roster.update(now_ms, relays);
    }
    roster.record_status(&relay.id, status);
    drop(roster);
    gw.ledger.set_router_count(answer.routers as usize);
    if let Some(changes) = answer.targets {
        apply_targets(gw, changes);
    }
    limits::follow(gw, &answer.limits);
}

/// Applies changes to targets, unless this router knows newer ones.
fn apply_targets(gw: &Gateway, set: TargetChangeSet) {
    let known = gw.target_log.borrow().cursor().revision;
    if set.cursor.revision < known || set.since.is_some_and(|since| since > known) {
        return;
    }
    let now = Instant::now();
    let changes: Vec<RevisedChange> = set
        .changes
        .into_iter()
        .map(|(revision, change)| RevisedChange {
            revision,
            change: change.into_change(now),
        })
        .collect();
    gw.apply_target_changes(set.cursor, &changes, set.since.is_none());
}

/// Becomes a relay once there are too few and it is this router's turn.
async fn become_relay(gw: &Gateway, state: &FollowerState) -> Vec<KnownRecord> {
    loop {
        // Only just after a poll does this router know which relays answer.
        state.polled.notified().await;
        if let Some(known) = try_to_join(gw, state).await {
            return known;
        }
    }
}

/// Becomes a relay if there are too few and it is this router's turn.
async fn try_to_join(gw: &Gateway, state: &FollowerState) -> Option<Vec<KnownRecord>> {
    let now_ms = gw.clock.now_ms();
    let need = gw.ledger.roster.borrow().need(now_ms);
    let routers = gw.ledger.router_count();
    let action = state
        .candidacy
        .borrow_mut()
        .next_action(now_ms, need, routers, rand::random());
    match action {
        CandidateAction::None => None,
        CandidateAction::QueryService => {
            let record = gw.ledger.read_relays(gw).await;
            let mut candidacy = state.candidacy.borrow_mut();
            match record {
                Some(record) => {
                    update_roster(gw, &record);
                    candidacy.record_answer(gw.clock.now_ms());
                }
                None => candidacy.record_failure(),
            }
            None
        }
        CandidateAction::Join => {
            log::info!(target: "relay", "Joining the relays. need={need:?}");
            state.is_joining.set(true);
            let joining = gw.ledger.join_relays(gw, |record| is_wanted(gw, record));
            let joined = joining.await;
            state.is_joining.set(false);
            if joined.is_none() {
                state.candidacy.borrow_mut().withdraw();
            }
            joined
        }
    }
}

/// Returns whether this router is still needed as a relay, according to the record that it would
/// replace.
fn is_wanted(gw: &Gateway, record: &ShareRecord) -> bool {
    update_roster(gw, record)
        || gw
            .ledger
            .roster
            .borrow()
            .has_too_few_relays(gw.clock.now_ms())
}
