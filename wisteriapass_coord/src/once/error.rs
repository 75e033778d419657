//! Errors of claims and bills.

use derive_more::{Display, Error, From};

use crate::store::StoreError;

/// Result of a call on claims or bills in the service.
pub type Result<T, E = OnceError> = std::result::Result<T, E>;

/// Why a call on claims or bills failed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum OnceError {
    /// The service gave no answer.
    #[display("{_0}")]
    Store(StoreError),
    /// A request without a key can't be claimed.
    #[display("the request has no idempotency key; send one")]
    #[from(skip)]
    NoKey,
    /// The entry can't be read.
    #[display("{key} can't be read ({cause}); delete it when no request uses it any more")]
    #[from(skip)]
    Corrupt {
        /// Key of the entry.
        key: String,
        /// What the parser said.
        cause: String,
    },
}
