//! Carrying: one write of the record holds the next shares of several relays.
//!
//! Each relay composes its next share by itself, on top of what the one before composed, and takes the
//! outcome as that of a write of its own. So a write that is lost, late or comes too late means the
//! same for each of them as for the one that sends it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use wisteriapass_coord::prepaid::{ShareRecord, Stamp};

use super::group::Group;
use super::{Role, TokenLedger};
use crate::call::within;

/// Path of the question for another relay's next share.
pub const CARRY: &str = "/relay/carry";

/// Path of the outcome of the write that carries it.
pub const CARRIED: &str = "/relay/carried";

/// Longest wait for another relay's next share, in milliseconds: many round trips within a region.
const PATIENCE_MS: u64 = 40;

/// Longest wait for another relay to take the outcome, in milliseconds.
const TOLD_MS: u64 = 150;

/// Time for which a relay that did not answer is not asked again, in milliseconds.
const AWAY_MS: u64 = 2_000;

/// Time within which the outcome of a write is known, in milliseconds: longer than a call to the
/// service may be silent.
const OUTCOME_MS: u64 = 1_200;

/// Time between two looks whether it is, in milliseconds.
const LOOK_MS: u64 = 5;

/// A record on which another relay is to compose its next share.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CarryCall {
    /// Names the write.
    pub write: u64,
    /// The record as composed so far.
    pub record: Vec<u8>,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// It did not, and cannot any more.
    NotDone,
    /// It may have, or may yet.
    Unknown,
}

/// The outcome of a write, for those that it carries.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CarriedCall {
    /// Names the write.
    pub write: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// A share of this relay that another one's write carries.
#[derive(Debug)]
pub(super) struct Carried {
    write: u64,
    /// The state in which this relay left the record.
    record: ShareRecord,
    /// Mark of the write before.
    before: Option<Stamp>,
    /// When the outcome counts as unknown.
    until: Instant,
}

/// A write under way that carries shares of other relays.
#[derive(Debug, Default)]
pub(super) struct Carrier {
    write: u64,
    carried: Vec<SocketAddr>,
}

impl TokenLedger {
    /// Has other relays compose their next shares on top of a record; returns who did.
    pub(super) async fn gather(&self, group: &Group, record: &mut ShareRecord) -> Carrier {
        let mut carrier = Carrier {
            write: rand::random(),
            carried: Vec::new(),
        };
        for at in self.others(group, record) {
            let call = CarryCall {
                write: carrier.write,
                record: record.to_bytes(),
            };
            let answer = self.caller.call(at, CARRY, &call, within(PATIENCE_MS));
            let answer: Option<Option<Vec<u8>>> = answer.await;
            if answer.is_none() {
                let until = Instant::now() + Duration::from_millis(AWAY_MS);
                group.not_carried.borrow_mut().insert(at, until);
            }
            let next = answer.flatten();
            let next = next.and_then(|bytes| ShareRecord::from_bytes(&bytes).ok());
            if let Some(next) = next {
                carrier.carried.push(at);
                *record = next;
            }
        }
        carrier
    }

    /// Tells the relays whose shares a write carries what became of it.
    pub(super) async fn tell_carried(&self, carrier: Carrier, outcome: Outcome) {
        let call = CarriedCall {
            write: carrier.write,
            outcome,
        };
        let telling = carrier.carried.into_iter().map(async |at| {
            let _: Option<()> = self.caller.call(at, CARRIED, &call, within(TOLD_MS)).await;
        });
        futures_util::future::join_all(telling).await;
    }

    /// Returns the other relays that wrote of late and answered when they were asked last.
    fn others(&self, group: &Group, record: &ShareRecord) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut away = group.not_carried.borrow_mut();
        away.retain(|_, until| *until > now);
        let me = self.id();
        let listed = self.listed(record).into_iter();
        let others = listed.filter(|r| r.id != me && r.is_live);
        let others = others.map(|r| r.at);
        others.filter(|at| !away.contains_key(at)).collect()
    }

    /// Composes this relay's next share on top of a record for another relay's write; `None` if it
    /// has a write of its own under way, or shares of a predecessor to take over.
    pub(crate) fn answer_carry(&self, message: &[u8]) -> Option<Vec<u8>> {
        let call: CarryCall = postcard::from_bytes(message).ok()?;
        let next = self.carry(&call).map(|record| record.to_bytes());
        postcard::to_stdvec(&next).ok()
    }

    fn carry(&self, call: &CarryCall) -> Option<ShareRecord> {
        let group = &self.groups[0];
        let is_free = !group.is_writing.get() && group.carried.borrow().is_none();
        if self.role() != Role::Relay || !is_free || group.is_unsure.get() {
            return None;
        }
        let record = ShareRecord::from_bytes(&call.record).ok()?;
        let mut holder = group.holder.borrow_mut();
        let mine = record.tenure(holder.id())?;
        if mine.process != holder.process() {
            return None;
        }
        let stamp = self.clock.stamp();
        let next = holder.compose(self.clock.now_ms(), stamp, &record);
        let carried = Carried {
            write: call.write,
            record: next.clone(),
            before: holder.sent(stamp),
            until: within(OUTCOME_MS),
        };
        drop(holder);
        group.carried.replace(Some(carried));
        Some(next)
    }

    /// Takes the outcome of another relay's write in that carries this one's share.
    pub(crate) fn answer_carried(&self, message: &[u8]) -> Option<Vec<u8>> {
        let call: CarriedCall = postcard::from_bytes(message).ok()?;
        let group = &self.groups[0];
        let is_it = |c: &Carried| c.write == call.write;
        let carried = group.carried.borrow_mut().take_if(|c| is_it(c));
        if let Some(carried) = carried {
            self.settle_carried(group, carried, call.outcome);
        }
        postcard::to_stdvec(&()).ok()
    }

    fn settle_carried(&self, group: &Group, carried: Carried, outcome: Outcome) {
        match outcome {
            Outcome::Done => self.adopt(group, 0, &carried.record),
            Outcome::NotDone => group.holder.borrow_mut().not_done(carried.before),
            Outcome::Unknown => group.is_unsure.set(true),
        }
    }

    /// Waits until no write of another relay carries this one's share; an outcome that does not come
    /// is unknown.
    pub(super) async fn until_free(&self, group: &Group) {
        loop {
            let is_over = |c: &mut Carried| Instant::now() >= c.until;
            let overdue = group.carried.borrow_mut().take_if(is_over);
            if let Some(carried) = overdue {
                self.settle_carried(group, carried, Outcome::Unknown);
            }
            if group.carried.borrow().is_none() {
                return;
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }
}
