//! Exchanging shares with the service: one task for each record.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};
use wisteriapass_coord::prepaid::ShareRecord;

use super::{Bank, GROUPS, Group};
use crate::gateway::Gateway;
use crate::platform::{Recorded, StoreError, Swap, Versioned};

/// Time between two exchanges when nobody waits, in milliseconds: the proof that a seal is whole
/// is that young.
const TICK_MS: u64 = 500;

/// Shortest time between two exchanges, in milliseconds: requests that come meanwhile share one,
/// and wait little beside the time in which an answer is on time.
const PAUSE_MS: u64 = 60;

/// Time between two reads while the service does not answer, in milliseconds.
const PROBE_MS: u64 = 200;

/// What is known of a record.
enum Known {
    /// Nothing: it has to be read before the next write.
    Nothing,
    /// Its state at a revision.
    State(u64, ShareRecord),
}

impl Bank {
    /// Keeps this router's shares of one record; never ends.
    pub async fn keep(self: Rc<Self>, gw: Rc<Gateway>, index: u32) {
        let group = &self.groups[index as usize];
        let mut known = Known::Nothing;
        loop {
            known = match known {
                Known::Nothing => self.read(&gw, index).await,
                Known::State(revision, record) => {
                    let tick = Duration::from_millis(TICK_MS).max(self.turn(group));
                    // Either way an exchange is made: it is due, or the proof grows old.
                    let _ = timeout(tick, group.needed.notified()).await;
                    self.write(&gw, index, revision, record).await
                }
            };
            let stamp = self.clock.stamp();
            group.holder.borrow_mut().unseal(stamp);
        }
    }

    /// Gives back what is not spent, as often as it takes; for a process that ends in good order.
    pub async fn give_back(&self, gw: &Gateway) {
        for index in 0..GROUPS {
            while !self.try_give_back(gw, index).await {}
            log::info!(target: "money", "Shares given back. record={index}");
        }
    }

    /// Returns whether there is nothing left to give back.
    async fn try_give_back(&self, gw: &Gateway, index: u32) -> bool {
        let Known::State(revision, record) = self.read(gw, index).await else {
            return false;
        };
        let holder = &self.groups[index as usize].holder;
        let next = holder.borrow_mut().give_back(self.clock.stamp(), &record);
        let Some(next) = next else {
            return true;
        };
        let swap = gw
            .platform
            .swap(Recorded::Shares(index), revision, encode(&next));
        matches!(swap.await, Ok(Swap::Done(_)))
    }

    async fn read(&self, gw: &Gateway, index: u32) -> Known {
        let group = &self.groups[index as usize];
        match gw.platform.load(Recorded::Shares(index)).await {
            Ok(versioned) => {
                let known = decode(&versioned);
                if let Known::State(_, record) = &known {
                    self.adopt(group, index, record);
                }
                known
            }
            Err(e) => {
                group.in_touch.set(false);
                log::debug!(target: "money", "Record not read. record={index} cause={e:?}");
                sleep(Duration::from_millis(PROBE_MS)).await;
                Known::Nothing
            }
        }
    }

    /// Writes this router's next state over a known one.
    async fn write(&self, gw: &Gateway, index: u32, revision: u64, record: ShareRecord) -> Known {
        let group = &self.groups[index as usize];
        let stamp = self.clock.stamp();
        let now_ms = self.clock.now_ms();
        let next = group.holder.borrow_mut().compose(now_ms, stamp, &record);
        let before = group.holder.borrow_mut().sent(stamp);
        let began = Instant::now();
        let name = Recorded::Shares(index);
        let swapped = gw.platform.swap(name, revision, encode(&next)).await;
        group.took.set(began.elapsed());
        match swapped {
            Ok(Swap::Done(revision)) => {
                self.adopt(group, index, &next);
                let pause = Duration::from_millis(PAUSE_MS);
                sleep(pause.max(self.turn(group))).await;
                Known::State(revision, next)
            }
            Ok(Swap::Conflict(versioned)) => {
                group.holder.borrow_mut().not_done(before);
                group.needed.notify_one();
                // Routers that met once do not meet again.
                let apart = rand::random_range(0..PAUSE_MS / 3);
                sleep(Duration::from_millis(apart)).await;
                decode(&versioned)
            }
            Err(StoreError::Refused) => {
                group.holder.borrow_mut().not_done(before);
                group.in_touch.set(false);
                sleep(Duration::from_millis(PROBE_MS)).await;
                Known::State(revision, record)
            }
            Err(e) => {
                group.in_touch.set(false);
                log::info!(target: "money", "Write without answer. record={index} cause={e:?}");
                Known::Nothing
            }
        }
    }

    /// Returns the time after which every router had a turn at a slow service: of those that write
    /// at the same time one gets through.
    fn turn(&self, group: &Group) -> Duration {
        let routers = u32::try_from(self.routers()).unwrap_or(u32::MAX);
        group.took.get().saturating_mul(routers) / 2
    }

    fn adopt(&self, group: &Group, index: u32, record: &ShareRecord) {
        let is_mine = group.holder.borrow_mut().adopt(record);
        group.in_touch.set(is_mine);
        if !is_mine {
            group.needed.notify_one();
        }
        if index == 0 {
            self.count_routers(record);
        }
        *group.record.borrow_mut() = record.clone();
        group.done.notify_waiters();
    }
}

fn encode(record: &ShareRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Reads a record; one that cannot be read is not written over.
fn decode(versioned: &Versioned) -> Known {
    if versioned.revision == 0 {
        return Known::State(0, ShareRecord::default());
    }
    match serde_json::from_slice(&versioned.value) {
        Ok(record) => Known::State(versioned.revision, record),
        Err(e) => {
            log::error!(target: "money", "Record unreadable; remove it or restore it. cause={e}");
            Known::Nothing
        }
    }
}
