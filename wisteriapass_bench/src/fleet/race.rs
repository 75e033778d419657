//! Two writers that edit the configuration from the same revision.

use wisteriapass_config::{CURRENT_KEY, Document};
use wisteriapass_coord::store::{Revision, Store, Swap};

use super::{Fleet, FleetError, Result};

/// Operation ids of the two writers.
const WRITERS: [&str; 2] = ["race-a", "race-b"];

impl Fleet {
    /// Lets two writers edit from the same revision at once; the one that comes first wins.
    ///
    /// # Errors
    ///
    /// [`FleetError::Conflict`] unless just one wins, [`FleetError::Store`] without an answer.
    pub fn race_edits(&self) -> Result<u64> {
        let mut current = self.document.lock();
        let store = self.platform.store();
        let entry = store.get(CURRENT_KEY)?;
        let at = entry.map_or(Revision::ABSENT, |e| e.revision);
        let edit = |op: &str| {
            let revision = current.revision + 1;
            let op = format!("{op}-{revision}");
            Document {
                revision,
                op,
                ..current.clone()
            }
        };
        let edits = WRITERS.map(edit);
        let swap = |edit: &Document| store.swap(CURRENT_KEY, at, &edit.to_json(), None);
        let swaps = std::thread::scope(|s| {
            let writers = edits.each_ref().map(|edit| s.spawn(|| swap(edit)));
            writers.map(|w| w.join().unwrap_or_else(|e| std::panic::resume_unwind(e)))
        });
        let mut won = Vec::new();
        for (edit, swapped) in edits.into_iter().zip(swaps) {
            if matches!(swapped?, Swap::Done(_)) {
                won.push(edit);
            }
        }
        match won.pop() {
            Some(winner) if won.is_empty() => {
                *current = winner;
                Ok(current.revision)
            }
            _ => Err(FleetError::Conflict),
        }
    }
}
