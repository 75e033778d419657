//! Priority classes of work.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Priority of work, most urgent first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Somebody waits at the screen: search suggestions, questions of readers.
    #[display("interactive")]
    Interactive,
    /// Somebody waits, a little: drafts, checklists, supplier answers, page fetches.
    #[default]
    #[display("standard")]
    Standard,
    /// Nobody waits.
    #[display("batch")]
    Batch,
}

impl Priority {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// Returns the class's place in arrays by class.
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
