//! Past configurations, kept so that a refused edit can say what changed meanwhile.
//!
//! The last [`MAX_KEPT_DOCUMENTS`] documents lie in a ring of keys beside the current one. An editor copies the
//! document that it replaces before it writes. The copies only serve messages: an edit does not
//! depend on them, and a lost one means that a conflict says less.

use wisteriapass_config::Document;
use wisteriapass_coord::store::{Revision, Store};

/// Past documents kept.
///
/// At 10,000 edits a day they cover the last four and a half minutes, at ten a day three days.
pub const MAX_KEPT_DOCUMENTS: u64 = 32;

/// Returns the key that holds the document of a revision.
fn key_for(revision: u64) -> String {
    format!("config-past/{}", revision % MAX_KEPT_DOCUMENTS)
}

/// Keeps a document that is about to be replaced.
///
/// A slow writer does not replace a later document by an older one.
pub(crate) fn keep_document(store: &dyn Store, document: &Document) {
    let key = key_for(document.revision);
    let Ok(entry) = store.get(&key) else {
        return;
    };
    let held = entry
        .as_ref()
        .and_then(|e| Document::from_json(&e.value).ok());
    if held.is_some_and(|h| h.revision >= document.revision) {
        return;
    }
    let expected = entry.map_or(Revision::ABSENT, |e| e.revision);
    // A copy that is not written is missed only in a message.
    let _ = store.swap(&key, expected, &document.to_json(), None);
}

/// Returns the document of a past revision, if it is still kept.
pub(crate) fn find_document(store: &dyn Store, revision: u64) -> Option<Document> {
    if revision == 0 {
        return Some(Document::default());
    }
    let entry = store.get(&key_for(revision)).ok()??;
    let document = Document::from_json(&entry.value).ok()?;
    (document.revision == revision).then_some(document)
}
