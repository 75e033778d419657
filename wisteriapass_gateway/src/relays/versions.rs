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

/// Reads the record, and writes it whenever versions come or expire; never returns.
pub async fn keep_versions(gw: Rc<Gateway>) {
    let mut keeper = VersionKeeper::new(gw.clone());
    keeper.read().await;
    loop {
        while keeper.is_outdated() {
            keeper.write().await;
        }
        let until = deadline_in(CHECK_INTERVAL_MS);
        // Without a new version, expired ones are looked for.
        let _ = timeout_at(until, gw.origins.has_versions.notified()).await;
    }
}

/// Reads and writes the record.
struct VersionKeeper {
    gw: Rc<Gateway>,
    /// The record as stored, and its revision.
    stored: VersionRecord,
    revision: u64,
    /// Pause after the next call that fails, in milliseconds.
    pause_ms: u64,
}

impl VersionKeeper {
    fn new(gw: Rc<Gateway>) -> Self {
        Self {
            gw,
            stored: VersionRecord::default(),
            revision: 0,
            pause_ms: RETRY_MS,
        }
    }

    fn is_outdated(&self) -> bool {
        self.gw.origins.updated_record(&self.stored) != self.stored
    }

    /// Reads the record until the store answers, and takes over its versions.
    async fn read(&mut self) {
        loop {
            let loaded = self.gw.platform.load(RecordKey::Versions).await;
            self.count_call(StoreCall::ReadVersions, &loaded);
            match loaded {
                Ok(loaded) => return self.take_over(&loaded),
                Err(_) => self.pause().await,
            }
        }
    }

    /// Replaces the record, or reads it if that fails.
    async fn write(&mut self) {
        let record = self.gw.origins.updated_record(&self.stored);
        let platform = &self.gw.platform;
        let swap = platform.compare_and_swap(RecordKey::Versions, self.revision, record.to_bytes());
        let swapped = swap.await;
        self.count_call(StoreCall::WriteVersions, &swapped);
        match swapped {
            Ok(SwapOutcome::Done(revision)) => {
                log::info!(target: "versions", "Versions stored. versions={record}");
                self.stored = record;
                self.revision = revision;
                self.pause_ms = RETRY_MS;
            }
            Ok(SwapOutcome::Conflict(other)) => self.take_over(&other),
            Err(_) => {
                // The write may have taken effect.
                self.pause().await;
                self.read().await;
            }
        }
    }

    /// Takes over the versions of a record; a damaged one is replaced.
    fn take_over(&mut self, found: &VersionedRecord) {
        let decoded = VersionRecord::from_bytes(&found.value);
        self.stored = decoded.unwrap_or_else(|e| {
            log::warn!(target: "versions", "Record is malformed, it is written anew. cause={e}");
            VersionRecord::default()
        });
        self.revision = found.revision;
        self.gw.origins.merge_record(&self.stored);
    }

    async fn pause(&mut self) {
        sleep(Duration::from_millis(self.pause_ms)).await;
        self.pause_ms = (self.pause_ms * 2).min(MAX_RETRY_MS);
    }

    fn count_call<T>(&self, call: StoreCall, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => StoreOutcome::Answered,
            Err(e) => StoreOutcome::of(e),
        };
        self.gw.metrics.count_store_call(call, outcome);
    }
}
