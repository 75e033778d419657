//! Bills in the service.

use std::collections::BTreeMap;

use crate::budget::Origin;
use crate::once::{Bill, OnceError, Result, RunId};
use crate::store::{Revision, Store, Swap};

/// Prefix of all bills.
const PREFIX: &str = "bills/";

/// Bills `bills/<writer>/<n>` behind a [`Store`]; a set by run, so writing one twice changes
/// nothing.
pub struct BillLedger<'a> {
    store: &'a dyn Store,
    writer: Origin,
}

impl<'a> BillLedger<'a> {
    /// Reaches the bills in `store` as one incarnation, which numbers its batches itself.
    pub fn new(store: &'a dyn Store, writer: Origin) -> Self {
        Self { store, writer }
    }

    /// Writes a batch under the number `n`, which this incarnation uses for no other batch.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the service gave no answer; repeat it with the same batch.
    pub fn write_batch(&self, n: u64, bills: &[Bill]) -> Result<()> {
        let key = format!("{PREFIX}{}/{n:08}", self.writer);
        let value = serde_json::to_string(bills).map_err(|e| corrupt(&key, &e))?;
        match self.store.swap(&key, Revision::ABSENT, &value, None)? {
            // A conflict is this batch, written before with its answer lost.
            Swap::Done(_) | Swap::Conflict(_) => Ok(()),
        }
    }

    /// Reads all bills as written, some of them perhaps more than once.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the service gave no answer or a batch can't be read.
    pub fn read_all(&self) -> Result<Vec<Bill>> {
        let mut all = Vec::new();
        for entry in self.store.list(PREFIX)? {
            let batch: Vec<Bill> =
                serde_json::from_str(&entry.value).map_err(|e| corrupt(&entry.key, &e))?;
            all.extend(batch);
        }
        Ok(all)
    }

    /// Finds the bill of one run; reads all batches, so it is for rare cases.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the service gave no answer or a batch can't be read.
    pub fn find(&self, run: &RunId) -> Result<Option<Bill>> {
        Ok(self.read()?.remove(run))
    }

    /// Reads all bills, each run once.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the service gave no answer or a batch can't be read.
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
