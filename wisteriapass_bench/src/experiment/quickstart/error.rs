//! Why the tour ended early.

use std::io;

use derive_more::{Display, Error, From};

use crate::fleet::FleetError;

/// Result of a step of the tour.
pub type Result<T, E = QuickstartError> = std::result::Result<T, E>;

/// Why the tour ended early.
#[derive(Debug, Display, Error, From)]
pub enum QuickstartError {
    /// The fleet did not do as told.
    Fleet(FleetError),
    /// The output could not be written.
    #[display("cannot write the output ({_0}); check where it goes")]
    Io(io::Error),
    /// A promise of the product was not kept.
    #[display("not as promised: {what}; please report this with the output above")]
    #[from(skip)]
    Unexpected {
        /// What was seen.
        what: String,
    },
}

/// Fails with what was seen unless a promise was kept.
pub(super) fn ensure(kept: bool, what: impl Into<String>) -> Result<()> {
    if kept {
        return Ok(());
    }
    Err(QuickstartError::Unexpected { what: what.into() })
}
