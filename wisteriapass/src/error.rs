//! Errors of the tool, each with its remedy.

use derive_more::{Display, Error, From};
use error_stack::Report;
use wisteriapass_config::ConfigError;
use wisteriapass_coord::budget::LedgerError;
use wisteriapass_coord::revision::RevisionError;
use wisteriapass_coord::store::StoreError;

use crate::edit::Conflict;

/// Result of a command.
pub type Result<T, E = Report<ToolError>> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum ToolError {
    /// The command line is not usable.
    #[display("{cause}; see wisteriapass --help")]
    #[from(skip)]
    Usage {
        /// What is wrong with it.
        cause: String,
    },
    /// A file cannot be read or written.
    #[display("{file}: {cause}; check the path and its permissions")]
    #[from(skip)]
    File {
        /// File as given.
        file: String,
        /// What the system said.
        cause: String,
    },
    /// Inventory or rules have mistakes.
    #[display("{_0}")]
    Config(ConfigError),
    /// Another edit came first.
    #[display("{_0}")]
    Conflict(#[error(not(source))] Conflict),
    /// There is no configuration yet.
    #[display("there is no configuration yet; apply one with --from 0")]
    #[from(skip)]
    NoConfiguration,
    /// A name does not exist.
    #[display("no {kind} is named {name:?}; {remedy}")]
    #[from(skip)]
    NotFound {
        /// Kind of thing that was looked for.
        kind: &'static str,
        /// Name that was given.
        name: String,
        /// What to do about it.
        remedy: &'static str,
    },
    /// An edit would leave nothing to serve with.
    #[display("the inventory has no {entry}; check that the file is whole")]
    #[from(skip)]
    MissingEntries {
        /// Kind of entry that is missing.
        entry: &'static str,
    },
    /// A document is larger than the key-value service holds.
    #[display(
        "the configuration has {bytes} bytes, of {max_bytes} allowed; shorten names or split it"
    )]
    #[from(skip)]
    TooLarge {
        /// Size as JSON.
        bytes: usize,
        /// Largest size.
        max_bytes: usize,
    },
    /// The key-value service gave no answer to a read, or refused it.
    #[display("{_0}")]
    Store(StoreError),
    /// The configuration in the service cannot be read or edited.
    #[display("{_0}")]
    Revision(RevisionError),
    /// A budget cannot be read or changed.
    #[display("{_0}")]
    Ledger(LedgerError),
    /// A write got no answer.
    #[display("no answer ({cause}), so it may have taken effect; repeat it with {retry_option}")]
    #[from(skip)]
    OutcomeUnknown {
        /// What the service said.
        cause: String,
        /// Option that makes the repetition safe.
        retry_option: String,
    },
    /// The result could not be printed.
    #[display("the result could not be printed ({cause}); run the command again")]
    #[from(skip)]
    Output {
        /// What the system said.
        cause: String,
    },
}

impl ToolError {
    /// Creates an error about a file.
    pub fn file(file: impl Into<String>, cause: &std::io::Error) -> Self {
        Self::File {
            file: file.into(),
            cause: cause.to_string(),
        }
    }
}
