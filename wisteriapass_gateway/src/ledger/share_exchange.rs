//! Share exchange with the store: one task for each record.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use wisteriapass_coord::prepaid::{Outstanding, Pace, ShareRecord, Stamp};

use super::account_group::AccountGroup;
use super::combined_write::WriteOutcome;
use super::incarnation::RECORD_COUNT;
use super::{Role, TokenLedger};
use crate::gateway::Gateway;
use crate::metrics::{StoreCall, StoreOutcome};
use crate::platform::{RecordKey, StoreError, SwapOutcome, VersionedRecord};

/// Interval between reads while the store does not answer, in milliseconds.
const RETRY_MS: u64 = 200;

/// Offset between the exchanges of two relays, in milliseconds: long enough for the first one to
/// start to collect the shares of the others.
const EXCHANGE_OFFSET_MS: u64 = 25;

/// Upper limit of that offset, in milliseconds.
const MAX_EXCHANGE_OFFSET_MS: u64 = 300;

/// What this router knows about a record.
#[derive(Clone, Debug)]
pub enum KnownRecord {
    /// Nothing: it is not known whether the last write took effect.
    Unknown,
    /// This router's last write took effect, and other relays may have written since.
    Outdated,
    /// Its state at a revision.
    Current(u64, ShareRecord),
    /// The state that this router has just written.
    Written(u64, ShareRecord),
}

impl TokenLedger {
    /// Exchanges this router's shares with one record; never returns.
    pub async fn exchange_shares(
        self: Rc<Self>,
        gw: Rc<Gateway>,
        index: u32,
        mut known: KnownRecord,
    ) {
        let incarnation = self.incarnation();
        let group = incarnation.record_group(index);
        loop {
            known = match known {
                KnownRecord::Unknown => self.read_and_apply(&gw, index).await,
                KnownRecord::Outdated => self.load(&gw, index).await,
                KnownRecord::Current(revision, record) => {
                    self.write_next(&gw, index, revision, record).await
                }
                KnownRecord::Written(revision, record) => {
                    self.wait_for_next_exchange(group).await;
                    self.wait_for_combined_write(group).await;
                    if group.is_outcome_unknown.take() {
                        KnownRecord::Unknown
                    } else if self.live_relays.get() > 1 {
                        KnownRecord::Outdated
                    } else {
                        KnownRecord::Current(revision, record)
                    }
                }
            };
            let stamp = self.clock.stamp();
            group.holder.borrow_mut().unseal(stamp);
            self.measure_outstanding(&gw);
        }
    }

    /// Sets the gauges of the tokens that this router holds in all records.
    fn measure_outstanding(&self, gw: &Gateway) {
        let incarnation = self.incarnation();
        let all = incarnation.groups.iter();
        let all = all.map(|group| group.holder.borrow().outstanding());
        let sum = all.fold(Outstanding::default(), Outstanding::plus);
        gw.metrics.set_outstanding(sum);
    }

    /// Returns the initial state of all records, of which nothing is known.
    pub fn unknown_records(&self) -> Vec<KnownRecord> {
        (0..RECORD_COUNT).map(|_| KnownRecord::Unknown).collect()
    }

    /// Reads the record that lists the relays; returns `None` if the store does not answer.
    pub async fn read_relays(&self, gw: &Gateway) -> Option<ShareRecord> {
        match self.load(gw, 0).await {
            KnownRecord::Current(_, record) => Some(record),
            KnownRecord::Unknown | KnownRecord::Outdated | KnownRecord::Written(..) => None,
        }
    }

    /// Registers this router as a relay in all records, provided that `is_wanted` holds for the
    /// state that is replaced. Returns the known state of the records if it succeeded.
    pub async fn join_relays(
        &self,
        gw: &Gateway,
        is_wanted: impl Fn(&ShareRecord) -> bool,
    ) -> Option<Vec<KnownRecord>> {
        let mut all = Vec::new();
        for index in 0..RECORD_COUNT {
            let incarnation = self.incarnation();
            let group = incarnation.record_group(index);
            let mut known = self.load(gw, index).await;
            while let KnownRecord::Current(revision, record) = known {
                if index == 0 && !is_wanted(&record) {
                    return None;
                }
                known = self.write_next(gw, index, revision, record).await;
            }
            if !group.in_contact.get() {
                return None;
            }
            all.push(known);
        }
        Some(all)
    }

    /// Has what this router spent written soon, when it begins to stop: it may be killed before it
    /// stopped in order.
    pub fn write_soon(&self) {
        self.incarnation().request_exchanges();
    }

    /// Returns credit and, with each exchange, what no request in progress needs; waits until none
    /// does, at most until a deadline.
    pub async fn release_unspent(&self, until: Instant) {
        self.is_stopping.set(true);
        self.incarnation().set_stopping();
        self.write_soon();
        self.return_credit(until).await;
        if self.role() == Role::Relay {
            self.wait_until_idle(until).await;
        }
    }

    /// Returns the unspent tokens of this router's own shares, and retries until it succeeds. Does
    /// nothing at a router that is no relay.
    pub async fn return_shares(&self, gw: &Gateway) {
        if self.role() == Role::Follower {
            return;
        }
        for index in 0..RECORD_COUNT {
            while !self.try_return_shares(gw, index).await {}
            log::info!(target: "money", "Returned unspent shares. record={index}");
        }
        self.measure_outstanding(gw);
    }

    /// Tries once to return the tokens of one record; returns whether nothing is left to return.
    async fn try_return_shares(&self, gw: &Gateway, index: u32) -> bool {
        let incarnation = self.incarnation();
        let group = incarnation.record_group(index);
        self.wait_for_combined_write(group).await;
        group.is_writing.set(true);
        let KnownRecord::Current(revision, record) = self.read_and_apply(gw, index).await else {
            return false;
        };
        let stamp = self.clock.stamp();
        let next = group.holder.borrow_mut().return_unspent(stamp, &record);
        let Some(next) = next else {
            return true;
        };
        let swap =
            gw.platform
                .compare_and_swap(RecordKey::Shares(index), revision, next.to_bytes());
        matches!(swap.await, Ok(SwapOutcome::Done(_)))
    }

    /// Reads a record after a write without an answer, and applies what it says about that write.
    async fn read_and_apply(&self, gw: &Gateway, index: u32) -> KnownRecord {
        let known = self.load(gw, index).await;
        if let KnownRecord::Current(_, record) = &known {
            self.apply_record(self.incarnation().record_group(index), index, record);
        }
        known
    }

    async fn load(&self, gw: &Gateway, index: u32) -> KnownRecord {
        let incarnation = self.incarnation();
        let group = incarnation.record_group(index);
        let loaded = gw.platform.load(RecordKey::Shares(index)).await;
        let outcome = loaded.as_ref().err().map(StoreOutcome::of);
        let outcome = outcome.unwrap_or(StoreOutcome::Answered);
        gw.metrics.count_store_call(StoreCall::ReadShares, outcome);
        match loaded {
            Ok(versioned) => match decode(&versioned) {
                KnownRecord::Unknown => {
                    sleep(Duration::from_millis(RETRY_MS)).await;
                    KnownRecord::Unknown
                }
                known => known,
            },
            Err(e) => {
                group.in_contact.set(false);
                log::debug!(
                    target: "money",
                    "Could not read the share record. record={index} cause={e:?}"
                );
                sleep(Duration::from_millis(RETRY_MS)).await;
                KnownRecord::Unknown
            }
        }
    }

    /// Writes this router's next share on top of a known state.
    async fn write_next(
        &self,
        gw: &Gateway,
        index: u32,
        revision: u64,
        record: ShareRecord,
    ) -> KnownRecord {
        let incarnation = self.incarnation();
        let group = incarnation.record_group(index);
        self.inquire(group, &record).await;
        self.wait_for_combined_write(group).await;
        if group.is_outcome_unknown.take() {
            return KnownRecord::Unknown;
        }
        if group.confirmed_at.get() != group.confirmed_at_pause_end.get() {
            return KnownRecord::Written(revision, record);
        }
        group.is_writing.set(true);
        let stamp = self.clock.stamp();
        let now_ms = self.clock.now_ms();
        let mine = group.holder.borrow_mut().compose(now_ms, stamp, &record);
        let previous_stamp = group.holder.borrow_mut().note_sent(stamp);
        let mut next = mine;
        let combined = self.collect_shares(group, &mut next).await;
        let began = Instant::now();
        let key = RecordKey::Shares(index);
        let swapped = gw
            .platform
            .compare_and_swap(key, revision, next.to_bytes())
            .await;
        group.write_duration.set(began.elapsed());
        let (write_outcome, pause_ms) = match &swapped {
            Ok(SwapOutcome::Done(_)) => (WriteOutcome::Applied, 0),
            Ok(SwapOutcome::Conflict(_)) => (
                WriteOutcome::NotApplied,
                self.pace(group).conflict_backoff_ms(rand::random()),
            ),
            Err(StoreError::Refused) => (WriteOutcome::NotApplied, RETRY_MS),
            Err(_) => (WriteOutcome::Unknown, 0),
        };
        let state = (revision, record);
        let known = self.apply_write_outcome(gw, index, swapped, state, next, previous_stamp);
        group.is_writing.set(false);
        let pause = sleep(Duration::from_millis(pause_ms));
        tokio::join!(self.report_outcome(combined, write_outcome), pause);
        known
    }

    /// Applies the outcome of a write of `next` on top of a state.
    fn apply_write_outcome(
        &self,
        gw: &Gateway,
        index: u32,
        swapped: Result<SwapOutcome, StoreError>,
        (revision, record): (u64, ShareRecord),
        next: ShareRecord,
        previous_stamp: Option<Stamp>,
    ) -> KnownRecord {
        let incarnation = self.incarnation();
        let group = incarnation.record_group(index);
        let outcome = match &swapped {
            Ok(SwapOutcome::Done(_)) => StoreOutcome::Answered,
            Ok(SwapOutcome::Conflict(_)) => StoreOutcome::Conflict,
            Err(e) => StoreOutcome::of(e),
        };
        gw.metrics.count_store_call(StoreCall::WriteShares, outcome);
        match swapped {
            Ok(SwapOutcome::Done(revision)) => {
                self.apply_record(group, index, &next);
                KnownRecord::Written(revision, next)
            }
            Ok(SwapOutcome::Conflict(versioned)) => {
                group.holder.borrow_mut().note_not_applied(previous_stamp);
                group.exchange_needed.notify_one();
                decode(&versioned)
            }
            Err(StoreError::Refused) => {
                group.holder.borrow_mut().note_not_applied(previous_stamp);
                group.in_contact.set(false);
                KnownRecord::Current(revision, record)
            }
            Err(e) => {
                group.in_contact.set(false);
                log::info!(
                    target: "money",
                    "Outcome of the share record write is unknown. record={index} cause={e:?}"
                );
                KnownRecord::Unknown
            }
        }
    }

    /// Waits until the next exchange is due.
    async fn wait_for_next_exchange(&self, group: &AccountGroup) {
        let pace = self.pace(group);
        let pause = Duration::from_millis(pace.urgent_interval_ms());
        let loss_pause = Duration::from_millis(pace.loss_interval_ms());
        let idle_pause = Duration::from_millis(pace.idle_interval_ms());
        let offset = Duration::from_millis(self.exchange_offset_ms(group));
        loop {
            let began = group.confirmed_at.get();
            group.next_exchange_at.set(began + pause + offset);
            sleep_until(began + pause + offset).await;
            // The exchange takes place either way: on demand, or because the last write, which
            // proves that the sealed part is unspent, gets too old.
            let due = began + idle_pause + offset;
            let _ = timeout_at(due, group.exchange_needed.notified()).await;
            if !group.holder.borrow().is_due() {
                sleep_until((began + loss_pause + offset).min(due)).await;
            }
            // Otherwise another relay's write has carried this relay's share in the meantime.
            if group.confirmed_at.get() == began {
                group.confirmed_at_pause_end.set(began);
                return;
            }
        }
    }

    /// Returns this relay's offset from the first relay's exchange, in milliseconds. The first
    /// relay's write contains the shares of the others.
    fn exchange_offset_ms(&self, group: &AccountGroup) -> u64 {
        let me = self.id();
        let record = group.record.borrow();
        let before = record
            .holder_entries()
            .filter(|(id, _)| **id < me && self.is_live(id));
        (before.count() as u64 * EXCHANGE_OFFSET_MS).min(MAX_EXCHANGE_OFFSET_MS)
    }

    /// Logs the tokens that were lost with predecessors, again after some were recovered.
    fn log_losses(&self, group: &AccountGroup) {
        let holder = group.holder.borrow();
        let Some(proof) = holder.proof() else {
            return;
        };
        let sum = Some(holder.losses().map(|(_, lost)| lost).sum());
        if group.logged_losses.replace(sum) == sum {
            return;
        }
        for (account, lost) in holder.losses() {
            log::info!(
                target: "money",
                "Lost with predecessors. account={account} tokens={lost} proof={proof} \
                 silent_ms={:?} {}",
                holder.silent_ms(),
                holder.account_status(account)
            );
        }
    }

    pub(super) fn pace(&self, group: &AccountGroup) -> Pace {
        let took_ms = u64::try_from(group.write_duration.get().as_millis()).unwrap_or(u64::MAX);
        Pace::new(self.live_relays.get(), took_ms)
    }

    pub(super) fn apply_record(&self, group: &AccountGroup, index: u32, record: &ShareRecord) {
        let is_mine = group.holder.borrow_mut().adopt(record);
        group.in_contact.set(is_mine);
        if is_mine {
            group.confirmed_at.set(Instant::now());
        } else {
            group.exchange_needed.notify_one();
        }
        if index == 0 {
            self.count_live_routers(record);
        }
        if is_mine {
            self.log_losses(group);
        }
        *group.record.borrow_mut() = record.clone();
        group.progress.notify_waiters();
    }
}

/// Decodes a record. An unreadable record counts as unknown, so it is not overwritten.
fn decode(versioned: &VersionedRecord) -> KnownRecord {
    if versioned.revision == 0 {
        return KnownRecord::Current(0, ShareRecord::default());
    }
    match ShareRecord::from_bytes(&versioned.value) {
        Ok(record) => KnownRecord::Current(versioned.revision, record),
        Err(e) => {
            log::error!(
                target: "money",
                "Could not decode the share record. cause={:?}",
                e.to_string()
            );
            KnownRecord::Unknown
        }
    }
}
