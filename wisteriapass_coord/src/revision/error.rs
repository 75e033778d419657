//! Errors from configuration documents and edits.

use derive_more::{Display, Error};

use crate::revision::ConfigRevision;
use crate::store::StoreError;

/// Result of reading or editing the configuration.
pub type Result<T, E = RevisionError> = std::result::Result<T, E>;

/// Why a configuration document cannot be read or edited.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RevisionError {
    /// The text is not a configuration document.
    #[display("configuration document is malformed ({cause}); send it as the tool writes it")]
    Malformed {
        /// Error of the parser.
        cause: String,
    },
    /// Two different documents have the same revision.
    #[display(
        "two different documents have revision {revision}; restore config/current in the key-value \
         service with a higher revision"
    )]
    Diverged {
        /// Revision of both documents.
        revision: ConfigRevision,
    },
    /// The key-value service failed.
    #[display("{_0}")]
    Store(StoreError),
}

impl From<StoreError> for RevisionError {
    fn from(e: StoreError) -> Self {
        Self::Store(e)
    }
}
