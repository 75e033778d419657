//! Errors from calls to the key-value service.

use derive_more::{Display, Error};

/// Result of a call to the key-value service.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// Why a call to the key-value service failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The service could not be reached; the call did not take effect.
    #[display("key-value service unreachable ({cause}); check its address and retry later")]
    Unreachable {
        /// Error of the connection.
        cause: String,
    },
    /// The response was lost; the call may have taken effect.
    #[display("key-value service gave no answer ({cause}); reread before retrying the write")]
    Unknown {
        /// Error of the connection.
        cause: String,
    },
    /// The service rejected the call; it did not take effect.
    #[display("key-value service refused the call ({cause}); correct the call")]
    Refused {
        /// Error of the service.
        cause: String,
    },
}

impl StoreError {
    /// Returns whether the call certainly did not take effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Refused { .. } => true,
            Self::Unknown { .. } => false,
        }
    }
}
