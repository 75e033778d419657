//! The active configuration: one document whose revision never decreases.

mod active;
mod bootstrap;
mod document;
mod edit;
mod error;
mod number;
mod peers;

pub use active::{ActiveConfig, AdoptOutcome, SyncAction};
pub use bootstrap::{Bootstrap, Readiness};
pub use document::{AppliedEdit, ConfigDocument, RECENT_EDITS};
pub use edit::{CONFIG_KEY, Edit, EditOutcome, read_current};
pub use error::{Result, RevisionError};
pub use number::ConfigRevision;
pub use peers::PeerRevisions;
