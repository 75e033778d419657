//! Errors in settings, inventory and rules.

use derive_more::{Display, Error};

use crate::Diagnostic;

/// Result of reading or validating a configuration text.
pub type Result<T, E = ConfigError> = std::result::Result<T, E>;

/// Why a configuration text is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ConfigError {
    /// The file could not be read.
    #[display("{file}: cannot be read ({cause}); check the path and its permissions")]
    Unreadable {
        /// Path as given.
        file: String,
        /// Error of the operating system.
        cause: String,
    },
    /// The text has one or more errors, listed in the order of the text.
    #[display("{}", join_lines(diagnostics))]
    Invalid {
        /// All errors found.
        diagnostics: Vec<Diagnostic>,
    },
}

impl ConfigError {
    /// Returns the errors found; none if the text could not be read.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        match self {
            Self::Unreadable { .. } => &[],
            Self::Invalid { diagnostics } => diagnostics,
        }
    }
}

/// Formats diagnostics, one per line.
fn join_lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    lines.join("\n")
}
