//! Exchanging shares with the service: one task for each record.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use wisteriapass_coord::prepaid::{Pace, ShareRecord, Stamp};

use super::carrying::Outcome;
use super::group::Group;
use super::{GROUPS, Role, TokenLedger};
use crate::gateway::Gateway;
use crate::metrics::{StoreCall, StoreOutcome};
use crate::platform::{Recorded, StoreError, Swap, Versioned};

/// Time between two reads while the service does not answer, in milliseconds.
const PROBE_MS: u64 = 200;

/// Time between the exchanges of two relays, in milliseconds: one has begun to gather the others'
/// shares by then.
const TURN_MS: u64 = 25;

/// Longest time by which one is later for that, in milliseconds.
const MOST_TURN_MS: u64 = 300;

/// What is known of a record.
#[derive(Clone, Debug)]
pub enum KnownRecord {
    /// Nothing: the last write may have taken effect or not.
    Nothing,
    /// That it held this router's last write; others wrote since then.
    Past,
    /// Its state at a revision.
    State(u64, ShareRecord),
    /// The state that this router has just written.
    Written(u64, ShareRecord),
}

impl TokenLedger {
    /// Keeps this router's shares of one record; never ends.
    pub async fn keep(self: Rc<Self>, gw: Rc<Gateway>, index: u32, mut known: KnownRecord) {
        let group = &self.groups[index as usize];
        loop {
            known = match known {
                KnownRecord::Nothing => self.read(&gw, index).await,
                KnownRecord::Past => self.load(&gw, index).await,
                KnownRecord::State(revision, record) => {
                    self.write(&gw, index, revision, record).await
                }
                KnownRecord::Written(revision, record) => {
                    self.rest(group).await;
                    self.until_free(group).await;
                    if group.is_unsure.take() {
                        KnownRecord::Nothing
                    } else if self.writers.get() > 1 {
                        KnownRecord::Past
                    } else {
                        KnownRecord::State(revision, record)
                    }
                }
            };
            let stamp = self.clock.stamp();
            group.holder.borrow_mut().unseal(stamp);
        }
    }

    /// Returns that nothing is known of the records.
    pub fn unknown(&self) -> Vec<KnownRecord> {
        self.groups.iter().map(|_| KnownRecord::Nothing).collect()
    }

    /// Reads the record that says who is a relay; `None` without an answer of the service.
    pub async fn read_relays(&self, gw: &Gateway) -> Option<ShareRecord> {
        match self.load(gw, 0).await {
            KnownRecord::State(_, record) => Some(record),
            KnownRecord::Nothing | KnownRecord::Past | KnownRecord::Written(..) => None,
        }
    }

    /// Writes this router into the records as a relay, as long as `is_wanted` of the state that it
    /// writes over; returns what is known of the records if it did.
    pub async fn join(
        &self,
        gw: &Gateway,
        is_wanted: impl Fn(&ShareRecord) -> bool,
    ) -> Option<Vec<KnownRecord>> {
        let mut all = Vec::new();
        for index in 0..GROUPS {
            let group = &self.groups[index as usize];
            let mut known = self.load(gw, index).await;
            while let KnownRecord::State(revision, record) = known {
                if index == 0 && !is_wanted(&record) {
                    return None;
                }
                known = self.write(gw, index, revision, record).await;
            }
            if !group.in_touch.get() {
                return None;
            }
            all.push(known);
        }
        Some(all)
    }

    /// Gives back what is not spent, as often as it takes; for a process that ends in good order.
    pub async fn return_unspent(&self, gw: &Gateway, until: Instant) {
        self.return_credit(until).await;
        if self.role() == Role::Relay {
            self.grants_end(until).await;
            self.give_back_shares(gw).await;
        }
    }

    /// Gives back what is not spent of this router's own shares, as often as it takes.
    pub async fn give_back_shares(&self, gw: &Gateway) {
        for index in 0..GROUPS {
            while !self.try_give_back(gw, index).await {}
            log::info!(target: "money", "Shares given back. record={index}");
        }
    }

    /// Returns whether there is nothing left to give back.
    async fn try_give_back(&self, gw: &Gateway, index: u32) -> bool {
        let group = &self.groups[index as usize];
        self.until_free(group).await;
        group.is_writing.set(true);
        let KnownRecord::State(revision, record) = self.read(gw, index).await else {
            return false;
        };
        let holder = &self.groups[index as usize].holder;
        let next = holder.borrow_mut().give_back(self.clock.stamp(), &record);
        let Some(next) = next else {
            return true;
        };
        let swap = gw
            .platform
            .swap(Recorded::Shares(index), revision, next.to_bytes());
        matches!(swap.await, Ok(Swap::Done(_)))
    }

    /// Reads a record after a write without answer, and takes over what it says of that.
    async fn read(&self, gw: &Gateway, index: u32) -> KnownRecord {
        let known = self.load(gw, index).await;
        if let KnownRecord::State(_, record) = &known {
            self.adopt(&self.groups[index as usize], index, record);
        }
        known
    }

    async fn load(&self, gw: &Gateway, index: u32) -> KnownRecord {
        let group = &self.groups[index as usize];
        let loaded = gw.platform.load(Recorded::Shares(index)).await;
        let outcome = loaded.as_ref().err().map(StoreOutcome::of);
        let outcome = outcome.unwrap_or(StoreOutcome::Answered);
        gw.metrics.called_store(StoreCall::ReadShares, outcome);
        match loaded {
            Ok(versioned) => match decode(&versioned) {
                KnownRecord::Nothing => {
                    sleep(Duration::from_millis(PROBE_MS)).await;
                    KnownRecord::Nothing
                }
                known => known,
            },
            Err(e) => {
                group.in_touch.set(false);
                log::debug!(target: "money", "Record not read. record={index} cause={e:?}");
                sleep(Duration::from_millis(PROBE_MS)).await;
                KnownRecord::Nothing
            }
        }
    }

    /// Writes this router's next state over a known one.
    async fn write(
        &self,
        gw: &Gateway,
        index: u32,
        revision: u64,
        record: ShareRecord,
    ) -> KnownRecord {
        let group = &self.groups[index as usize];
        self.inquire(group, &record).await;
        self.until_free(group).await;
        if group.is_unsure.take() {
            return KnownRecord::Nothing;
        }
        if group.wrote_at.get() != group.rested_at.get() {
            return KnownRecord::Written(revision, record);
        }
        group.is_writing.set(true);
        let stamp = self.clock.stamp();
        let now_ms = self.clock.now_ms();
        let mine = group.holder.borrow_mut().compose(now_ms, stamp, &record);
        let before = group.holder.borrow_mut().sent(stamp);
        let mut next = mine;
        let carrier = self.gather(group, &mut next).await;
        let began = Instant::now();
        let name = Recorded::Shares(index);
        let swapped = gw.platform.swap(name, revision, next.to_bytes()).await;
        group.took.set(began.elapsed());
        let (told, pause_ms) = match &swapped {
            Ok(Swap::Done(_)) => (Outcome::Done, 0),
            Ok(Swap::Conflict(_)) => (Outcome::NotDone, self.pace(group).apart_ms(rand::random())),
            Err(StoreError::Refused) => (Outcome::NotDone, PROBE_MS),
            Err(_) => (Outcome::Unknown, 0),
        };
        let state = (revision, record);
        let known = self.take_outcome(gw, index, swapped, state, next, before);
        group.is_writing.set(false);
        let pause = sleep(Duration::from_millis(pause_ms));
        tokio::join!(self.tell_carried(carrier, told), pause);
        known
    }

    /// Takes in what became of a write of `next` over a state.
    fn take_outcome(
        &self,
        gw: &Gateway,
        index: u32,
        swapped: Result<Swap, StoreError>,
        (revision, record): (u64, ShareRecord),
        next: ShareRecord,
        before: Option<Stamp>,
    ) -> KnownRecord {
        let group = &self.groups[index as usize];
        let outcome = match &swapped {
            Ok(Swap::Done(_)) => StoreOutcome::Answered,
            Ok(Swap::Conflict(_)) => StoreOutcome::Conflict,
            Err(e) => StoreOutcome::of(e),
        };
        gw.metrics.called_store(StoreCall::WriteShares, outcome);
        match swapped {
            Ok(Swap::Done(revision)) => {
                self.adopt(group, index, &next);
                KnownRecord::Written(revision, next)
            }
            Ok(Swap::Conflict(versioned)) => {
                group.holder.borrow_mut().not_done(before);
                group.needed.notify_one();
                decode(&versioned)
            }
            Err(StoreError::Refused) => {
                group.holder.borrow_mut().not_done(before);
                group.in_touch.set(false);
                KnownRecord::State(revision, record)
            }
            Err(e) => {
                group.in_touch.set(false);
                log::info!(target: "money", "Write without answer. record={index} cause={e:?}");
                KnownRecord::Nothing
            }
        }
    }

    /// Waits until the next exchange is due.
    async fn rest(&self, group: &Group) {
        let pace = self.pace(group);
        let pause = Duration::from_millis(pace.pause_ms());
        let tick = Duration::from_millis(pace.tick_ms());
        let apart = Duration::from_millis(self.turn_ms(group));
        loop {
            let began = group.wrote_at.get();
            group.next_at.set(began + pause + apart);
            sleep_until(began + pause + apart).await;
            // Either way an exchange is made: it is needed, or the proof grows old.
            let due = began + tick + apart;
            let _ = timeout_at(due, group.needed.notified()).await;
            // Unless another relay's write carried this one's share meanwhile.
            if group.wrote_at.get() == began {
                group.rested_at.set(began);
                return;
            }
        }
    }

    /// Returns how much later than the first of the relays this one exchanges, in milliseconds: the
    /// first one's write carries the others.
    fn turn_ms(&self, group: &Group) -> u64 {
        let me = self.id();
        let record = group.record.borrow();
        let before = record
            .tenures()
            .filter(|(id, _)| **id < me && self.is_live(id));
        (before.count() as u64 * TURN_MS).min(MOST_TURN_MS)
    }

    /// Logs what a predecessor held that is lost with it.
    fn tell_losses(&self, group: &Group) {
        let holder = group.holder.borrow();
        let Some(proof) = holder.proof() else {
            return;
        };
        for (account, lost) in holder.losses() {
            log::info!(
                target: "money",
                "Lost with predecessors. account={account} tokens={lost} proof={proof} {}",
                holder.standing(account)
            );
        }
    }

    pub(super) fn pace(&self, group: &Group) -> Pace {
        let took_ms = u64::try_from(group.took.get().as_millis()).unwrap_or(u64::MAX);
        Pace::new(self.writers.get(), took_ms)
    }

    pub(super) fn adopt(&self, group: &Group, index: u32, record: &ShareRecord) {
        let is_mine = group.holder.borrow_mut().adopt(record);
        group.in_touch.set(is_mine);
        if is_mine {
            group.wrote_at.set(Instant::now());
        } else {
            group.needed.notify_one();
        }
        if index == 0 {
            self.count_routers(record);
        }
        if is_mine && !group.has_told.replace(true) {
            self.tell_losses(group);
        }
        *group.record.borrow_mut() = record.clone();
        group.done.notify_waiters();
    }
}

/// Reads a record; one that cannot be read is not written over.
fn decode(versioned: &Versioned) -> KnownRecord {
    if versioned.revision == 0 {
        return KnownRecord::State(0, ShareRecord::default());
    }
    match ShareRecord::from_bytes(&versioned.value) {
        Ok(record) => KnownRecord::State(versioned.revision, record),
        Err(e) => {
            log::error!(target: "money", "Record unreadable. cause={:?}", e.to_string());
            KnownRecord::Nothing
        }
    }
}
