//! Errors of claims and bills.

use derive_more::{Display, Error, From};

use crate::store::StoreError;

/// Result of an operation on claims or bills in the key-value service.
pub type Result<T, E = OnceError> = std::result::Result<T, E>;

/// Reason why an operation on claims or bills failed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum OnceError {
    /// The call to the key-value service failed.
    #[display("{_0}")]
    Store(StoreError),
    /// A request without an idempotency key can't be claimed.
    #[display("the request has no idempotency key; send one")]
    #[from(skip)]
    NoKey,
    /// A stored entry can't be parsed.
    #[display("{key} can't be read ({cause}); delete it when no request uses it any more")]
    #[from(skip)]
    Corrupt {
        /// Key of the entry.
        key: String,
        /// Error from the parser.
        cause: String,
    },
}
