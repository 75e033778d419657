//! Errors of the key-value service.

use derive_more::{Display, Error};

/// Result of a call to the key-value service.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// Why a call to the key-value service has no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The service could not be reached; the call did not take effect.
    #[display("key-value service unreachable ({cause}); check its address and retry later")]
    Unreachable {
        /// What the connection said.
        cause: String,
    },
    /// The answer was lost; the call may have taken effect.
    #[display("key-value service gave no answer ({cause}); reread before retrying the write")]
    Unknown {
        /// What the connection said.
        cause: String,
    },
    /// The service refused the call.
    #[display("key-value service refused the call ({cause}); correct the call")]
    Refused {
        /// What the service said.
        cause: String,
    },
}

impl StoreError {
    /// Returns whether the call surely did not take effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Refused { .. } => true,
            Self::Unknown { .. } => false,
        }
    }
}
