//! Exit codes of the tool.

use std::process::ExitCode;

use wisteriapass_coord::budget::LedgerError;
use wisteriapass_coord::revision::RevisionError;
use wisteriapass_coord::store::StoreError;
use wisteriapass_daemon::explain::AskError;

use crate::ToolError;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command was refused and changed nothing.
    Refused = 1,
    /// The command line or a file is unusable; nothing was attempted.
    Usage = 2,
    /// The key-value service or a daemon was unreachable; nothing changed.
    Unreachable = 3,
    /// A write got no answer, or its result could not be printed; repeating it with the same id is
    /// safe.
    OutcomeUnknown = 4,
}

impl Exit {
    /// Returns the exit code of an error.
    pub fn for_error(error: &ToolError) -> Self {
        match error {
            ToolError::Usage { .. } | ToolError::File { .. } => Self::Usage,
            ToolError::Config(_)
            | ToolError::Conflict(_)
            | ToolError::NoConfiguration
            | ToolError::NotFound { .. }
            | ToolError::MissingEntries { .. }
            | ToolError::TooLarge { .. } => Self::Refused,
            ToolError::Store(e) => Self::of_read(e),
            ToolError::Revision(RevisionError::Store(e)) => Self::of_read(e),
            ToolError::Revision(_) => Self::Refused,
            ToolError::Ledger(LedgerError::Store(e)) => Self::of_write(e),
            ToolError::Ledger(_) => Self::Refused,
            ToolError::Explain(AskError::NoAnswer { .. } | AskError::NotConfigured { .. }) => {
                Self::Unreachable
            }
            ToolError::Explain(AskError::Malformed { .. }) => Self::Usage,
            ToolError::Explain(AskError::NotARouter { .. } | AskError::Refused { .. }) => {
                Self::Refused
            }
            // The result that could not be printed may be that of a successful write.
            ToolError::OutcomeUnknown { .. } | ToolError::Output { .. } => Self::OutcomeUnknown,
        }
    }

    /// Returns the exit code of a failed read, which changes nothing: a lost response counts as an
    /// unreachable service.
    fn of_read(error: &StoreError) -> Self {
        match error {
            StoreError::Refused { .. } => Self::Refused,
            StoreError::Unreachable { .. } | StoreError::Unknown { .. } => Self::Unreachable,
        }
    }

    /// Returns the exit code of a failed write, which may have taken effect.
    fn of_write(error: &StoreError) -> Self {
        match error {
            StoreError::Unknown { .. } => Self::OutcomeUnknown,
            StoreError::Refused { .. } | StoreError::Unreachable { .. } => Self::of_read(error),
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
