//! One edit of the configuration by compare-and-swap.

use serde::Serialize;
use serde_json::{Map, Value};

use crate::revision::{
    AppliedEdit, ConfigDocument, ConfigRevision, RECENT_EDITS, Result, RevisionError,
};
use crate::store::{Entry, Revision, Store, StoreError, Swap};

/// Key of the configuration in the key-value service.
pub const CONFIG_KEY: &str = "config/current";

/// Times that an edit is tried when the service loses answers or others write.
const TRIES: u32 = 4;

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit took effect as this revision.
    Accepted(ConfigRevision),
    /// Refused without effect: another edit came first; this is what is current.
    Conflict {
        /// The current document, unless there is none.
        current: Option<ConfigDocument>,
    },
    /// The service gave no answer; repeating the edit with the same operation id tells.
    Unknown(StoreError),
}

/// Document as it is written: the head, then what the operators gave.
#[derive(Serialize)]
struct Record<'a> {
    revision: ConfigRevision,
    op: &'a str,
    recent: Vec<AppliedEdit>,
    #[serde(flatten)]
    body: &'a Map<String, Value>,
}

/// An edit: the whole new configuration, made from one revision, with an operation id.
#[derive(Clone, Debug)]
pub struct Edit {
    from: ConfigRevision,
    op: String,
    body: Map<String, Value>,
}

impl Edit {
    /// Creates an edit that replaces revision `from` by `body`, a JSON object; the keys `revision`,
    /// `op` and `recent` are set by the edit.
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

    /// Submits the edit. May be repeated with the same operation id: it takes effect once.
    ///
    /// # Errors
    ///
    /// [`RevisionError::Malformed`] if the service holds something else than a document.
    pub fn submit(&self, store: &dyn Store) -> Result<EditOutcome> {
        let mut lost = StoreError::Unknown {
            cause: "too many conflicts".into(),
        };
        let mut may_have_run = false;
        for _ in 0..TRIES {
            let entry = match store.get(CONFIG_KEY) {
                Ok(entry) => entry,
                Err(e) => {
                    lost = e;
                    continue;
                }
            };
            if let Some(outcome) = self.settled(entry.as_ref(), may_have_run)? {
                return Ok(outcome);
            }
            match self.write(store, entry.as_ref())? {
                Ok(Swap::Done(_)) => return Ok(EditOutcome::Accepted(self.from.next())),
                Ok(Swap::Conflict(_)) => {}
                Err(e) => {
                    may_have_run |= !e.is_without_effect();
                    lost = e;
                }
            }
        }
        if !may_have_run {
            return Err(lost.into());
        }
        Ok(EditOutcome::Unknown(lost))
    }

    /// Returns the outcome if the current document decides it.
    fn settled(&self, entry: Option<&Entry>, may_have_run: bool) -> Result<Option<EditOutcome>> {
        let current = entry.map(|e| ConfigDocument::parse(&e.value)).transpose()?;
        if let Some(revision) = current.as_ref().and_then(|c| c.revision_of(&self.op)) {
            return Ok(Some(EditOutcome::Accepted(revision)));
        }
        let revision = current
            .as_ref()
            .map_or(ConfigRevision::NONE, ConfigDocument::revision);
        let oldest_remembered = revision.0.saturating_sub(RECENT_EDITS as u64);
        if may_have_run && self.from.next().0 < oldest_remembered {
            return Ok(Some(EditOutcome::Unknown(StoreError::Unknown {
                cause: format!("{revision} is current, too far on to tell"),
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

/// Reads the current document from the service.
///
/// # Errors
///
/// [`RevisionError::Store`] without an answer, [`RevisionError::Malformed`] for another text.
pub fn read_current(store: &dyn Store) -> Result<Option<ConfigDocument>> {
    let entry = store.get(CONFIG_KEY)?;
    entry.map(|e| ConfigDocument::parse(&e.value)).transpose()
}
