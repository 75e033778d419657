//! Configuration edits by compare-and-swap.

use serde::Serialize;
use serde_json::{Map, Value};

use crate::revision::{
    AppliedEdit, ConfigDocument, ConfigRevision, RECENT_EDITS, Result, RevisionError,
};
use crate::store::{Entry, Revision, Store, StoreError, Swap};

/// Key of the configuration document in the key-value service.
pub const CONFIG_KEY: &str = "config/current";

/// Attempts per edit when responses are lost or other writers get ahead.
const MAX_ATTEMPTS: u32 = 4;

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit took effect as this revision.
    Accepted(ConfigRevision),
    /// The edit had no effect: another edit was written first.
    Conflict {
        /// The current document, if there is one.
        current: Option<ConfigDocument>,
    },
    /// The response was lost; submitting the edit again with the same operation id determines its
    /// outcome.
    Unknown(StoreError),
}

/// Document as it is written: the header fields, then the keys that the operators supplied.
#[derive(Serialize)]
struct Record<'a> {
    revision: ConfigRevision,
    op: &'a str,
    recent: Vec<AppliedEdit>,
    #[serde(flatten)]
    body: &'a Map<String, Value>,
}

/// Edit that replaces the whole configuration at one revision, identified by an operation id.
#[derive(Clone, Debug)]
pub struct Edit {
    from: ConfigRevision,
    op: String,
    body: Map<String, Value>,
}

impl Edit {
    /// Creates an edit that replaces revision `from` with `body`, a JSON object. The edit sets the
    /// keys `revision`, `op` and `recent`.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Malformed`] if `body` is not a JSON object.
    pub fn new(from: ConfigRevision, op: impl Into<String>, body: &str) -> Result<Self> {
        let parsed = serde_json::from_str(body);
        let mut body: Map<String, Value> = parsed.map_err(|e| RevisionError::Malformed {
            cause: e.to_string(),
        })?;
        for key in ["revision", "op", "recent"] {
            body.remove(key);
        }
        Ok(Self {
            from,
            op: op.into(),
            body,
        })
    }

    /// Submits the edit. This is idempotent: with the same operation id the edit takes effect once.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Malformed`] if the key-value service does not hold a valid document, or
    /// [`RevisionError::Store`] if it failed and the edit did certainly not take effect.
    pub fn submit(&self, store: &dyn Store) -> Result<EditOutcome> {
        let mut last_error = StoreError::Unknown {
            cause: "too many conflicts".into(),
        };
        let mut may_have_run = false;
        for _ in 0..MAX_ATTEMPTS {
            let entry = match store.get(CONFIG_KEY) {
                Ok(entry) => entry,
                Err(e) => {
                    last_error = e;
                    continue;
                }
            };
            if let Some(outcome) = self.known_outcome(entry.as_ref(), may_have_run)? {
                return Ok(outcome);
            }
            match self.write(store, entry.as_ref())? {
                Ok(Swap::Done(_)) => return Ok(EditOutcome::Accepted(self.from.next())),
                Ok(Swap::Conflict(_)) => {}
                Err(e) => {
                    may_have_run |= !e.is_without_effect();
                    last_error = e;
                }
            }
        }
        if !may_have_run {
            return Err(last_error.into());
        }
        Ok(EditOutcome::Unknown(last_error))
    }

    /// Returns the outcome if the current document determines it.
    fn known_outcome(
        &self,
        entry: Option<&Entry>,
        may_have_run: bool,
    ) -> Result<Option<EditOutcome>> {
        let current = entry.map(|e| ConfigDocument::parse(&e.value)).transpose()?;
        if let Some(revision) = current.as_ref().and_then(|c| c.revision_of(&self.op)) {
            return Ok(Some(EditOutcome::Accepted(revision)));
        }
        let revision = current
            .as_ref()
            .map_or(ConfigRevision::NONE, ConfigDocument::revision);
        let oldest_recorded = revision.0.saturating_sub(RECENT_EDITS as u64);
        if may_have_run && self.from.next().0 < oldest_recorded {
            return Ok(Some(EditOutcome::Unknown(StoreError::Unknown {
                cause: format!(
                    "the recent edits of revision {revision} no longer reach back to this edit"
                ),
            })));
        }
        if revision != self.from {
            return Ok(Some(EditOutcome::Conflict { current }));
        }
        Ok(None)
    }

    fn write(
        &self,
        store: &dyn Store,
        entry: Option<&Entry>,
    ) -> Result<crate::store::Result<Swap>> {
        let current = entry.map(|e| ConfigDocument::parse(&e.value)).transpose()?;
        let record = Record {
            revision: self.from.next(),
            op: &self.op,
            recent: current.map(|c| c.recent_edits()).unwrap_or_default(),
            body: &self.body,
        };
        let text = serde_json::to_string(&record).map_err(|e| RevisionError::Malformed {
            cause: e.to_string(),
        })?;
        let expected = entry.map_or(Revision::ABSENT, |e| e.revision);
        Ok(store.swap(CONFIG_KEY, expected, &text, None))
    }
}

/// Reads the current document from the key-value service.
///
/// # Errors
///
/// [`RevisionError::Store`] if the key-value service failed, [`RevisionError::Malformed`] if it
/// does not hold a valid document.
pub fn read_current(store: &dyn Store) -> Result<Option<ConfigDocument>> {
    let entry = store.get(CONFIG_KEY)?;
    entry.map(|e| ConfigDocument::parse(&e.value)).transpose()
}
