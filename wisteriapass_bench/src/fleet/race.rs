//! Concurrent edits of the same configuration revision.

use wisteriapass_config::{CURRENT_KEY, Document};
use wisteriapass_coord::store::{Revision, Store, Swap};

use super::{Fleet, FleetError, Result};

/// Prefixes of the operation IDs of the two writers.
const WRITER_OPS: [&str; 2] = ["race-a", "race-b"];

impl Fleet {
    /// Lets two writers edit the same revision at once; exactly one of the edits must be applied.
    ///
    /// # Errors
    ///
    /// [`FleetError::Conflict`] unless exactly one edit is applied, [`FleetError::Store`] if the
    /// key-value service fails.
    pub fn race_edits(&self) -> Result<u64> {
        let mut current = self.document.lock();
        let store = self.platform.store();
        let entry = store.get(CURRENT_KEY)?;
        let expected = entry.map_or(Revision::ABSENT, |e| e.revision);
        let edit = |op: &str| {
            let revision = current.revision + 1;
            let op = format!("{op}-{revision}");
            Document {
                revision,
                op,
                ..current.clone()
            }
        };
        let edits = WRITER_OPS.map(edit);
        let swap = |edit: &Document| store.swap(CURRENT_KEY, expected, &edit.to_json(), None);
        let results = std::thread::scope(|s| {
            let writers = edits.each_ref().map(|edit| s.spawn(|| swap(edit)));
            writers.map(|w| w.join().unwrap_or_else(|e| std::panic::resume_unwind(e)))
        });
        let mut applied = Vec::new();
        for (edit, result) in edits.into_iter().zip(results) {
            if matches!(result?, Swap::Done(_)) {
                applied.push(edit);
            }
        }
        match applied.pop() {
            Some(winner) if applied.is_empty() => {
                *current = winner;
                Ok(current.revision)
            }
            _ => Err(FleetError::Conflict),
        }
    }
}
