//! Exit codes of the tool.

use std::process::ExitCode;

use wisteriapass_coord::budget::LedgerError;
use wisteriapass_coord::revision::RevisionError;
use wisteriapass_coord::store::StoreError;

use crate::ToolError;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what it was asked to.
    Success = 0,
    /// It was refused and changed nothing.
    Refused = 1,
    /// The command line or a file is not usable; nothing was tried.
    Usage = 2,
    /// The key-value service or a daemon could not be reached; nothing changed.
    Unreachable = 3,
    /// A write got no answer, or its result could not be printed; repeat it with the same id.
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
            // What was to be printed may have been the success of a write.
            ToolError::OutcomeUnknown { .. } | ToolError::Output { .. } => Self::OutcomeUnknown,
        }
    }

    /// A call that changes nothing: without an answer, the service counts as unreachable.
    fn of_read(error: &StoreError) -> Self {
        match error {
            StoreError::Refused { .. } => Self::Refused,
            StoreError::Unreachable { .. } | StoreError::Unknown { .. } => Self::Unreachable,
        }
    }

    /// A call that may have changed something.
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
