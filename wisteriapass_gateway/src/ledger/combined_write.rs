//! Combined writes: one write of the record contains the next shares of several relays.
//!
//! Each relay composes its next share itself, on top of what the previous relay composed, and
//! handles the outcome as if it had sent the write. A lost, late or conflicting write therefore
//! means the same to each of them as to the sender.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use wisteriapass_coord::prepaid::{ShareRecord, Stamp};

use super::account_group::AccountGroup;
use super::{Role, TokenLedger};
use crate::rpc::deadline_in;

/// Path of the call that requests another relay's next share.
pub const COMPOSE_PATH: &str = "/relay/carry";

/// Path of the call that reports the outcome of a combined write.
pub const OUTCOME_PATH: &str = "/relay/carried";

/// Timeout of a request for another relay's next share, in milliseconds: many round trips within a
/// region.
const COMPOSE_TIMEOUT_MS: u64 = 40;

/// Timeout of a report of the outcome, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 150;

/// Time for which a relay that did not answer is left out of combined writes, in milliseconds.
const SKIP_MS: u64 = 2_000;

/// Time after which the outcome of a combined write counts as unknown, in milliseconds: longer than
/// the timeout of a store call.
const OUTCOME_TIMEOUT_MS: u64 = 1_200;

/// Interval at which a pending outcome is polled, in milliseconds.
const POLL_MS: u64 = 5;

/// A request to compose the next share on top of a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ComposeCall {
    /// Identifies the write.
    pub write: u64,
    /// The record as composed so far.
    pub record: Vec<u8>,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The write did not take effect and can no longer do so.
    NotApplied,
    /// The write may have taken effect, or may yet do so.
    Unknown,
}

/// Reports the outcome of a combined write to the relays whose shares it contains.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct OutcomeCall {
    /// Identifies the write.
    pub write: u64,
    /// The outcome.
    pub outcome: WriteOutcome,
}

/// A share of this relay that is part of another relay's write.
#[derive(Debug)]
pub(super) struct CarriedShare {
    write: u64,
    /// The record as this relay composed it.
    record: ShareRecord,
    /// Stamp of the previous write, restored if this one does not take effect.
    previous_stamp: Option<Stamp>,
    /// Time at which the outcome counts as unknown.
    deadline: Instant,
}

/// A combined write in progress, sent by this relay.
#[derive(Debug, Default)]
pub(super) struct CombinedWrite {
    write: u64,
    relays: Vec<SocketAddr>,
}

impl TokenLedger {
    /// Asks other relays to compose their next shares on top of a record, and returns those that
    /// did.
    pub(super) async fn collect_shares(
        &self,
        group: &AccountGroup,
        record: &mut ShareRecord,
    ) -> CombinedWrite {
        let mut combined = CombinedWrite {
            write: rand::random(),
            relays: Vec::new(),
        };
        for at in self.combinable_relays(group, record) {
            let call = ComposeCall {
                write: combined.write,
                record: record.to_bytes(),
            };
            let answer = self
                .rpc
                .call(at, COMPOSE_PATH, &call, deadline_in(COMPOSE_TIMEOUT_MS));
            let answer: Option<Option<Vec<u8>>> = answer.await;
            if answer.is_none() {
                let until = Instant::now() + Duration::from_millis(SKIP_MS);
                group.skipped_relays.borrow_mut().insert(at, until);
            }
            let next = answer.flatten();
            let next = next.and_then(|bytes| ShareRecord::from_bytes(&bytes).ok());
            if let Some(next) = next {
                combined.relays.push(at);
                *record = next;
            }
        }
        combined
    }

    /// Reports the outcome of a combined write to the relays whose shares it contains.
    pub(super) async fn report_outcome(&self, combined: CombinedWrite, outcome: WriteOutcome) {
        let call = OutcomeCall {
            write: combined.write,
            outcome,
        };
        let reports = combined.relays.into_iter().map(async |at| {
            let _: Option<()> = self
                .rpc
                .call(at, OUTCOME_PATH, &call, deadline_in(REPORT_TIMEOUT_MS))
                .await;
        });
        futures_util::future::join_all(reports).await;
    }

    /// Returns the other relays with a recent write, except those that did not answer recently.
    fn combinable_relays(&self, group: &AccountGroup, record: &ShareRecord) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut skipped = group.skipped_relays.borrow_mut();
        skipped.retain(|_, until| *until > now);
        let me = self.id();
        let listed = self.relays_in(record).into_iter();
        let relays = listed.filter(|r| r.id != me && r.is_live);
        let relays = relays.map(|r| r.address);
        relays.filter(|at| !skipped.contains_key(at)).collect()
    }

    /// Handles a request to compose this relay's next share for another relay's write.
    ///
    /// Answers `None` if this router is no relay, if a write with its share is in progress or has
    /// an unknown outcome, or if the record shows another process under its name, whose shares it
    /// has yet to take over.
    pub(crate) fn handle_compose(&self, message: &[u8]) -> Option<Vec<u8>> {
        let call: ComposeCall = postcard::from_bytes(message).ok()?;
        let next = self.compose_for(&call).map(|record| record.to_bytes());
        postcard::to_stdvec(&next).ok()
    }

    fn compose_for(&self, call: &ComposeCall) -> Option<ShareRecord> {
        let incarnation = self.incarnation();
        let group = &incarnation.groups[0];
        let is_free = !group.is_writing.get() && group.carried.borrow().is_none();
        if self.role() != Role::Relay || !is_free || group.is_outcome_unknown.get() {
            return None;
        }
        let record = ShareRecord::from_bytes(&call.record).ok()?;
        let mut holder = group.holder.borrow_mut();
        let mine = record.holder_entry(holder.id())?;
        if mine.process != holder.process() {
            return None;
        }
        let stamp = self.clock.stamp();
        let next = holder.compose(self.clock.now_ms(), stamp, &record);
        let carried = CarriedShare {
            write: call.write,
            record: next.clone(),
            previous_stamp: holder.note_sent(stamp),
            deadline: deadline_in(OUTCOME_TIMEOUT_MS),
        };
        drop(holder);
        group.carried.replace(Some(carried));
        Some(next)
    }

    /// Handles the outcome of another relay's write that contains this relay's share.
    pub(crate) fn handle_outcome(&self, message: &[u8]) -> Option<Vec<u8>> {
        let call: OutcomeCall = postcard::from_bytes(message).ok()?;
        let incarnation = self.incarnation();
        let group = &incarnation.groups[0];
        let is_same_write = |c: &CarriedShare| c.write == call.write;
        let carried = group.carried.borrow_mut().take_if(|c| is_same_write(c));
        if let Some(carried) = carried {
            self.apply_outcome(group, carried, call.outcome);
        }
        postcard::to_stdvec(&()).ok()
    }

    fn apply_outcome(&self, group: &AccountGroup, carried: CarriedShare, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Applied => self.apply_record(group, 0, &carried.record),
            WriteOutcome::NotApplied => group
                .holder
                .borrow_mut()
                .note_not_applied(carried.previous_stamp),
            WriteOutcome::Unknown => group.is_outcome_unknown.set(true),
        }
    }

    /// Waits until no write of another relay contains this relay's share. An outcome that does not
    /// arrive in time counts as unknown.
    pub(super) async fn wait_for_combined_write(&self, group: &AccountGroup) {
        loop {
            let is_overdue = |c: &mut CarriedShare| Instant::now() >= c.deadline;
            let overdue = group.carried.borrow_mut().take_if(is_overdue);
            if let Some(carried) = overdue {
                self.apply_outcome(group, carried, WriteOutcome::Unknown);
            }
            if group.carried.borrow().is_none() {
                return;
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }
}
