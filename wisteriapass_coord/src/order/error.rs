//! Errors from issuing orders and reserving reads.

use derive_more::{Display, Error};

use crate::store::StoreError;

/// Result of issuing an order or reserving a read.
pub type Result<T, E = OrderError> = std::result::Result<T, E>;

/// Why an order was not issued or a read not reserved.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum OrderError {
    /// The record in the key-value service cannot be parsed.
    #[display("{key} in the key-value service is malformed ({cause}); delete it and retry")]
    Malformed {
        /// Key of the record.
        key: String,
        /// Error of the parser.
        cause: String,
    },
    /// Other writers changed the record at each attempt.
    #[display("{key} changed at every attempt; retry later")]
    Contended {
        /// Key of the record.
        key: String,
    },
    /// The key-value service failed.
    #[display("{_0}")]
    Store(StoreError),
}

impl From<StoreError> for OrderError {
    fn from(e: StoreError) -> Self {
        Self::Store(e)
    }
}
