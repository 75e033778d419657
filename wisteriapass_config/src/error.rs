//! Errors of settings, inventory and rules.

use derive_more::{Display, Error};

use crate::Diagnostic;

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
    /// One or more mistakes, each with its remedy, in the order of the text.
    #[display("{}", lines(diagnostics))]
    Invalid {
        /// All mistakes found.
        diagnostics: Vec<Diagnostic>,
    },
}

impl ConfigError {
    /// Returns the mistakes found, none if the text could not be read at all.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        match self {
            Self::Unreadable { .. } => &[],
            Self::Invalid { diagnostics } => diagnostics,
        }
    }
}

/// Joins mistakes, one a line.
fn lines(diagnostics: &[Diagnostic]) -> String {
    let texts: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    texts.join("\n")
}
