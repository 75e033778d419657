//! Errors of the quickstart.

use std::io;

use derive_more::{Display, Error, From};

use crate::fleet::FleetError;

/// Result of a quickstart step.
pub type Result<T, E = QuickstartError> = std::result::Result<T, E>;

/// Error of the quickstart.
#[derive(Debug, Display, Error, From)]
pub enum QuickstartError {
    /// The fleet failed.
    Fleet(FleetError),
    /// The output could not be written.
    #[display("cannot write the output ({_0}); check where it goes")]
    Io(io::Error),
    /// A step did not give the expected result.
    #[display("unexpected result: {what}; please report this with the output above")]
    #[from(skip)]
    Unexpected {
        /// What happened instead.
        what: String,
    },
}

/// Returns an error with the description `what` unless the condition is met.
pub(super) fn ensure(condition: bool, what: impl Into<String>) -> Result<()> {
    if condition {
        return Ok(());
    }
    Err(QuickstartError::Unexpected { what: what.into() })
}
