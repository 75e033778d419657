//! Keeps the record of software versions in the key-value store up to date.
//!
//! A router that starts after all others died learns from it what served before.

use tokio::time::{sleep, timeout_at};
use wisteriapass_coord::origin::VersionRecord;

use crate::metrics::{StoreCall, StoreOutcome};
use crate::platform::{RecordKey, StoreError, SwapOutcome, VersionedRecord};
use crate::prelude::*;
use crate::rpc::deadline_in;

/// Interval at which expired versions are looked for, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 60_000;

/// Initial pause after a call that failed, in milliseconds.
const RETRY_MS: u64 = 200;

/// Longest pause after a call that failed, in milliseconds.
const MAX_RETRY_MS: u64 = 2_000;

/// The record as stored.
#[derive(Debug, Default)]
struct StoredRecord {
    revision: u64,
    record: VersionRecord,
}

impl StoredRecord {
    /// Decodes a record; a damaged one is replaced.
    fn decode(stored: &VersionedRecord) -> Self {
        let record = VersionRecord::from_bytes(&stored.value).unwrap_or_else(|e| {
            log::warn!(target: "versions", "Record is malformed, it is written anew. cause={e}");
            VersionRecord::default()
        });
        Self {
            revision: stored.revision,
            record,
        }
    }
}

/// Reads the record, and writes it whenever versions come or expire; never returns.
pub async fn keep_versions(gw: Rc<Gateway>) {
    let mut stored = read(&gw).await;
    loop {
        while let Some(next) = update(&gw, &stored).await {
            stored = next;
        }
        let until = deadline_in(CHECK_INTERVAL_MS);
        // Without a new version, expired ones are looked for.
        let _ = timeout_at(until, gw.origins.has_versions.notified()).await;
    }
}

/// Reads the record until the store answers, and takes over its versions.
async fn read(gw: &Gateway) -> StoredRecord {
    let mut pause_ms = RETRY_MS;
    loop {
        let loaded = gw.platform.load(RecordKey::Versions).await;
        count_call(gw, StoreCall::ReadVersions, &loaded);
        if let Ok(loaded) = loaded {
            let stored = StoredRecord::decode(&loaded);
            gw.origins.merge_record(&stored.record);
            return stored;
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(MAX_RETRY_MS);
    }
}

/// Writes the record if it has to change; returns what is stored then, `None` if nothing is to do.
async fn update(gw: &Gateway, stored: &StoredRecord) -> Option<StoredRecord> {
    let record = gw.origins.updated_record(&stored.record);
    if record == stored.record {
        return None;
    }
    let value = record.to_bytes().ok()?;
    let platform = &gw.platform;
    let swap = platform.compare_and_swap(RecordKey::Versions, stored.revision, value);
    let swapped = swap.await;
    count_call(gw, StoreCall::WriteVersions, &swapped);
    Some(match swapped {
        Ok(SwapOutcome::Done(revision)) => {
            log::info!(target: "versions", "Versions stored. versions={record}");
            StoredRecord { revision, record }
        }
        Ok(SwapOutcome::Conflict(other)) => {
            let other = StoredRecord::decode(&other);
            gw.origins.merge_record(&other.record);
            other
        }
        // The write may have taken effect.
        Err(_) => {
            sleep(Duration::from_millis(RETRY_MS)).await;
            read(gw).await
        }
    })
}

fn count_call<T>(gw: &Gateway, call: StoreCall, result: &Result<T, StoreError>) {
    let outcome = match result {
        Ok(_) => StoreOutcome::Answered,
        Err(e) => StoreOutcome::of(e),
    };
    gw.metrics.count_store_call(call, outcome);
}
