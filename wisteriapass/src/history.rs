//! Past configurations, stored so that a conflict can list the changes of concurrent edits.
//!
//! The last [`MAX_KEPT_DOCUMENTS`] documents are stored in a ring of keys next to the current one.
//! An editor copies the document that it replaces before it writes the new one. Only messages use
//! the copies: edits do not depend on them, and a conflict without a copy lists no changes.

use wisteriapass_config::Document;
use wisteriapass_coord::store::{Revision, Store};

/// Number of past documents that are stored.
///
/// They cover four and a half minutes at 10,000 edits a day, and three days at ten edits a day.
pub const MAX_KEPT_DOCUMENTS: u64 = 32;

/// Returns the key of the document of a revision.
fn key_for(revision: u64) -> String {
    format!("config-past/{}", revision % MAX_KEPT_DOCUMENTS)
}

/// Stores a copy of a document that is about to be replaced.
///
/// A slow writer does not overwrite the copy of a later document with an older one.
pub(crate) fn keep_document(store: &dyn Store, document: &Document) {
    let key = key_for(document.revision);
    let Ok(entry) = store.get(&key) else {
        return;
    };
    let stored = entry
        .as_ref()
        .and_then(|e| Document::from_json(&e.value).ok());
    if stored.is_some_and(|s| s.revision >= document.revision) {
        return;
    }
    let expected = entry.map_or(Revision::ABSENT, |e| e.revision);
    // Errors are ignored because only messages use the copy.
    let _ = store.swap(&key, expected, &document.to_json(), None);
}

/// Returns the document of a past revision, if it is still stored.
pub(crate) fn find_document(store: &dyn Store, revision: u64) -> Option<Document> {
    if revision == 0 {
        return Some(Document::default());
    }
    let entry = store.get(&key_for(revision)).ok()??;
    let document = Document::from_json(&entry.value).ok()?;
    (document.revision == revision).then_some(document)
}
