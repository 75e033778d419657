//! Errors of settings, inventory and rules.

use derive_more::{Display, Error};

/// Result of reading or checking a configuration text.
pub type Result<T, E = ConfigError> = std::result::Result<T, E>;

/// Why a configuration text is not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ConfigError {
    /// The file could not be read.
    #[display("{file}: cannot be read ({cause}); check the path and its permissions")]
    Unreadable {
        /// File as given.
        file: String,
        /// What the system said.
        cause: String,
    },
    /// The text is not TOML, or a key or type is wrong.
    #[display("{file}: {cause}")]
    Malformed {
        /// File or document name.
        file: String,
        /// What the parser said, with line and key.
        cause: String,
    },
    /// A value is not acceptable.
    #[display("{file}: {key}: {cause}; {remedy}")]
    Invalid {
        /// File or document name.
        file: String,
        /// Path of the key.
        key: String,
        /// What is wrong.
        cause: String,
        /// What to do about it.
        remedy: String,
    },
}

impl ConfigError {
    /// Creates an error about the value of one key.
    pub fn invalid(
        file: impl Into<String>,
        key: impl Into<String>,
        cause: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self::Invalid {
            file: file.into(),
            key: key.into(),
            cause: cause.into(),
            remedy: remedy.into(),
        }
    }
}
