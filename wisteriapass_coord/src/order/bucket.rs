//! The weight store's rate limit, shared by the fleet through one record of the service.

use serde::{Deserialize, Serialize};

use crate::order::{OrderError, Result};
use crate::store::{Entry, Revision, Store, Swap};

/// Key of the record.
pub const BUCKET_KEY: &str = "weights/bucket";

/// Reservations that the record remembers, for writers whose answer was lost.
const REMEMBERED: usize = 64;

/// Times that a reservation is tried when others write.
const TRIES: u32 = 8;

/// When a reserved read of the weight store may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReservation {
    /// Operation id of the reservation.
    pub op: String,
    /// Earliest start, in Unix milliseconds.
    pub at_ms: u64,
}

/// The record: until when the weight store is spoken for, and the latest reservations.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Record {
    free_at_ms: u64,
    starts: Vec<ReadReservation>,
}

/// Token bucket over the weight store, kept as the time at which it is free again.
///
/// Answers a wave of loads after a failure domain comes back: without it every side process reads
/// at once and the store turns all of them away. The bucket has no burst, as loads are long and
/// the store's limit is a rate. Clocks of VMs differ: one that runs ahead by some time delays
/// others by as much, and none makes the rate exceeded by more than that time's worth.
#[derive(Clone, Copy, Debug)]
pub struct WeightBucket {
    bytes_a_second: u64,
}

impl WeightBucket {
    /// Creates the bucket of a weight store with this rate.
    pub fn new(bytes_a_second: u64) -> Self {
        Self {
            bytes_a_second: bytes_a_second.max(1),
        }
    }

    /// Reserves a read of `bytes` at `now_ms`. May be repeated with the same operation id.
    ///
    /// # Errors
    ///
    /// [`OrderError`] if the service gave no answer or others write all the time; repeat it.
    pub fn reserve(
        &self,
        store: &dyn Store,
        bytes: u64,
        now_ms: u64,
        op: &str,
    ) -> Result<ReadReservation> {
        let mut lost = OrderError::Contended {
            key: BUCKET_KEY.into(),
        };
        for _ in 0..TRIES {
            let entry = store.get(BUCKET_KEY)?;
            let record = entry.as_ref().map(parse).transpose()?.unwrap_or_default();
            if let Some(start) = record.starts.iter().find(|s| s.op == op) {
                return Ok(start.clone());
            }
            let (record, start) = self.reserved(record, bytes, now_ms, op);
            let text = serde_json::to_string(&record).map_err(|e| malformed(&e))?;
            let expected = entry.map_or(Revision::ABSENT, |e| e.revision);
            match store.swap(BUCKET_KEY, expected, &text, None) {
                Ok(Swap::Done(_)) => return Ok(start),
                Ok(Swap::Conflict(_)) => {}
                Err(e) => lost = e.into(),
            }
        }
        Err(lost)
    }

    fn reserved(
        &self,
        mut record: Record,
        bytes: u64,
        now_ms: u64,
        op: &str,
    ) -> (Record, ReadReservation) {
        let at_ms = record.free_at_ms.max(now_ms);
        let takes_ms = bytes.saturating_mul(1_000).div_ceil(self.bytes_a_second);
        record.free_at_ms = at_ms.saturating_add(takes_ms);
        let start = ReadReservation {
            op: op.into(),
            at_ms,
        };
        record.starts.insert(0, start.clone());
        record.starts.truncate(REMEMBERED);
        (record, start)
    }
}

fn parse(entry: &Entry) -> Result<Record> {
    serde_json::from_str(&entry.value).map_err(|e| malformed(&e))
}

fn malformed(e: &serde_json::Error) -> OrderError {
    OrderError::Malformed {
        key: BUCKET_KEY.into(),
        cause: e.to_string(),
    }
}
