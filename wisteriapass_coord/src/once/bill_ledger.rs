//! Bills in the key-value service.

use std::collections::BTreeMap;

use crate::budget::Origin;
use crate::once::{Bill, OnceError, Result, RunId};
use crate::store::{Revision, Store, Swap};

/// Key prefix of all bills.
const KEY_PREFIX: &str = "bills/";

/// Bills stored under `bills/<writer>/<n>` in a [`Store`].
///
/// Bills form a set keyed by run, so writing a bill twice has no effect.
pub struct BillLedger<'a> {
    store: &'a dyn Store,
    writer: Origin,
}

impl<'a> BillLedger<'a> {
    /// Creates a ledger that writes to `store` as the incarnation `writer`.
    ///
    /// The incarnation numbers its batches itself.
    pub fn new(store: &'a dyn Store, writer: Origin) -> Self {
        Self { store, writer }
    }

    /// Writes a batch under `number`, which this incarnation must use for no other batch.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the key-value service gave no answer. Retry with the same number and batch.
    pub fn write_batch(&self, number: u64, bills: &[Bill]) -> Result<()> {
        let key = format!("{KEY_PREFIX}{}/{number:08}", self.writer);
        let value = serde_json::to_string(bills).map_err(|e| corrupt(&key, &e))?;
        match self.store.swap(&key, Revision::ABSENT, &value, None)? {
            // A conflict means that an earlier write of this batch succeeded with its answer lost.
            Swap::Done(_) | Swap::Conflict(_) => Ok(()),
        }
    }

    /// Reads all bills as written; a run's bill may appear more than once.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the key-value service gave no answer or a batch can't be parsed.
    pub fn read_all(&self) -> Result<Vec<Bill>> {
        let mut all = Vec::new();
        for entry in self.store.list(KEY_PREFIX)? {
            let batch: Vec<Bill> =
                serde_json::from_str(&entry.value).map_err(|e| corrupt(&entry.key, &e))?;
            all.extend(batch);
        }
        Ok(all)
    }

    /// Returns the bill of one run.
    ///
    /// This reads all batches, so it is meant for rare cases only.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the key-value service gave no answer or a batch can't be parsed.
    pub fn find(&self, run: &RunId) -> Result<Option<Bill>> {
        Ok(self.read()?.remove(run))
    }

    /// Reads all bills, one for each run.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the key-value service gave no answer or a batch can't be parsed.
    pub fn read(&self) -> Result<BTreeMap<RunId, Bill>> {
        let all = self.read_all()?.into_iter();
        Ok(all.map(|bill| (bill.run.clone(), bill)).collect())
    }
}

fn corrupt(key: &str, e: &serde_json::Error) -> OnceError {
    OnceError::Corrupt {
        key: key.into(),
        cause: e.to_string(),
    }
}
