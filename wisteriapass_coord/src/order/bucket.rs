//! Rate limit of the weight store, shared by the fleet through one record in the key-value service.

use serde::{Deserialize, Serialize};

use crate::order::{OrderError, Result};
use crate::store::{Entry, Revision, Store, Swap};

/// Key of the shared record in the key-value service.
pub const BUCKET_KEY: &str = "weights/bucket";

/// Number of reservations that the record keeps, so that a writer whose response was lost finds its
/// own.
const MAX_RESERVATIONS: usize = 64;

/// Attempts per reservation when other writers get ahead.
const MAX_ATTEMPTS: u32 = 8;

/// Reserved read of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReservation {
    /// Operation id of the reservation.
    pub op: String,
    /// Earliest start of the read, in Unix milliseconds.
    pub at_ms: u64,
}

/// The shared record: the time up to which the weight store is reserved, and the latest
/// reservations.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Record {
    free_at_ms: u64,
    starts: Vec<ReadReservation>,
}

/// Token bucket for reads of the weight store, represented by the time at which the store is free
/// again.
///
/// It spreads the loads that follow the recovery of a failure domain: without it all side processes
/// read at once and the weight store rejects all of them. The bucket allows no burst, because loads
/// are long and the store's limit is a rate. Clocks of VMs differ: a clock that is ahead delays the
/// reads of others by its offset, and the rate is exceeded by at most that offset's worth of reads.
#[derive(Clone, Copy, Debug)]
pub struct WeightBucket {
    bytes_per_second: u64,
}

impl WeightBucket {
    /// Creates the bucket for a weight store with this rate.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
        }
    }

    /// Reserves a read of `bytes` at `now_ms` or later. This is idempotent for an operation id.
    ///
    /// # Errors
    ///
    /// [`OrderError`] if the key-value service failed or other writers got ahead at each attempt.
    /// The call may be retried.
    pub fn reserve(
        &self,
        store: &dyn Store,
        bytes: u64,
        now_ms: u64,
        op: &str,
    ) -> Result<ReadReservation> {
        let mut last_error = OrderError::Contended {
            key: BUCKET_KEY.into(),
        };
        for _ in 0..MAX_ATTEMPTS {
            let entry = store.get(BUCKET_KEY)?;
            let record = entry.as_ref().map(parse).transpose()?.unwrap_or_default();
            if let Some(reservation) = record.starts.iter().find(|s| s.op == op) {
                return Ok(reservation.clone());
            }
            let (record, reservation) = self.add_reservation(record, bytes, now_ms, op);
            let text = serde_json::to_string(&record).map_err(|e| malformed(&e))?;
            let expected = entry.map_or(Revision::ABSENT, |e| e.revision);
            match store.swap(BUCKET_KEY, expected, &text, None) {
                Ok(Swap::Done(_)) => return Ok(reservation),
                Ok(Swap::Conflict(_)) => {}
                Err(e) => last_error = e.into(),
            }
        }
        Err(last_error)
    }

    fn add_reservation(
        &self,
        mut record: Record,
        bytes: u64,
        now_ms: u64,
        op: &str,
    ) -> (Record, ReadReservation) {
        let at_ms = record.free_at_ms.max(now_ms);
        let duration_ms = bytes.saturating_mul(1_000).div_ceil(self.bytes_per_second);
        record.free_at_ms = at_ms.saturating_add(duration_ms);
        let reservation = ReadReservation {
            op: op.into(),
            at_ms,
        };
        record.starts.insert(0, reservation.clone());
        record.starts.truncate(MAX_RESERVATIONS);
        (record, reservation)
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
