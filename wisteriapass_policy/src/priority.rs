//! Priority classes of work.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Priority class of a request, most urgent first.
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
    /// A user is waiting for the answer: search suggestions, questions of readers.
    #[display("interactive")]
    Interactive,
    /// A user can wait for a while: drafts, checklists, supplier answers, page fetches.
    #[default]
    #[display("standard")]
    Standard,
    /// No user is waiting.
    #[display("batch")]
    Batch,
}

impl Priority {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// Returns the index of the class in per-class arrays.
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
