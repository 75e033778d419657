//! The place where a run is executed.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One incarnation of the side process beside a target.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{side}/{incarnation}")]
pub struct Place {
    /// Name shared by the target and its side process.
    pub side: String,
    /// Incarnation of the side process.
    pub incarnation: String,
}

impl Place {
    /// Creates the place of an incarnation of a side process.
    pub fn new(side: impl Into<String>, incarnation: impl Into<String>) -> Self {
        Self {
            side: side.into(),
            incarnation: incarnation.into(),
        }
    }
}
