//! Errors of orders.

use derive_more::{Display, Error};

use crate::store::StoreError;

/// Result of a call about orders.
pub type Result<T, E = OrderError> = std::result::Result<T, E>;

/// Why an order was not issued or a start not reserved.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum OrderError {
    /// The record in the service cannot be read.
    #[display("{key} in the key-value service is malformed ({cause}); delete it and order again")]
    Malformed {
        /// Key of the record.
        key: String,
        /// What the parser said.
        cause: String,
    },
    /// Others write the record all the time.
    #[display("{key} changed at every try; order again later")]
    Contended {
        /// Key of the record.
        key: String,
    },
    /// The key-value service gave no answer.
    #[display("{_0}")]
    Store(StoreError),
}

impl From<StoreError> for OrderError {
    fn from(e: StoreError) -> Self {
        Self::Store(e)
    }
}
