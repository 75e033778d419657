//! Errors of the tool. Each message says what to do.

use derive_more::{Display, Error, From};
use error_stack::Report;
use wisteriapass_config::ConfigError;
use wisteriapass_coord::budget::LedgerError;
use wisteriapass_coord::revision::RevisionError;
use wisteriapass_coord::store::StoreError;
use wisteriapass_daemon::explain::AskError;

use crate::edit::Conflict;

/// Result of a command.
pub type Result<T, E = Report<ToolError>> = std::result::Result<T, E>;

/// Reason why a command failed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum ToolError {
    /// The command line is invalid.
    #[display("{cause}; see wisteriapass --help")]
    #[from(skip)]
    Usage {
        /// Description of the mistake.
        cause: String,
    },
    /// A file cannot be read or written.
    #[display("{file}: {cause}; check the path and its permissions")]
    #[from(skip)]
    File {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        cause: String,
    },
    /// The inventory or the rules are invalid.
    #[display("{_0}")]
    Config(ConfigError),
    /// The edit is not based on the current revision.
    #[display("{_0}")]
    Conflict(#[error(not(source))] Conflict),
    /// There is no configuration yet.
    #[display("there is no configuration yet; apply one with --from 0")]
    #[from(skip)]
    NoConfiguration,
    /// No item has the given name.
    #[display("no {kind} is named {name:?}; {remedy}")]
    #[from(skip)]
    NotFound {
        /// Kind of item.
        kind: &'static str,
        /// The given name.
        name: String,
        /// Suggestion to the operator.
        remedy: &'static str,
    },
    /// The inventory of an edit has no router or no target.
    #[display("the inventory has no {entry}; check that the file is complete")]
    #[from(skip)]
    MissingEntries {
        /// Table name of the missing entries.
        entry: &'static str,
    },
    /// A document is too large for the key-value service.
    #[display(
        "the configuration has {bytes} bytes of at most {max_bytes}; shorten names or split it"
    )]
    #[from(skip)]
    TooLarge {
        /// Size, in bytes of JSON.
        bytes: usize,
        /// Maximum size.
        max_bytes: usize,
    },
    /// A read from the key-value service got no answer or was refused.
    #[display("{_0}")]
    Store(StoreError),
    /// The stored configuration cannot be read or edited.
    #[display("{_0}")]
    Revision(RevisionError),
    /// A budget cannot be read or changed.
    #[display("{_0}")]
    Ledger(LedgerError),
    /// A write got no answer and may have taken effect.
    #[display(
        "no answer ({cause}), so the write may have taken effect; repeat it with {retry_option}"
    )]
    #[from(skip)]
    OutcomeUnknown {
        /// Error of the key-value service.
        cause: String,
        /// Option that makes repeating the write safe.
        retry_option: String,
    },
    /// A router cannot explain the placement of a request.
    #[display("{_0}")]
    Explain(AskError),
    /// The result could not be printed.
    #[display("the result could not be printed ({cause}); run the command again")]
    #[from(skip)]
    Output {
        /// Error of the operating system.
        cause: String,
    },
}

impl ToolError {
    /// Creates an error from an I/O error of a file.
    pub fn file(file: impl Into<String>, cause: &std::io::Error) -> Self {
        Self::File {
            file: file.into(),
            cause: cause.to_string(),
        }
    }
}
