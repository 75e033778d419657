//! The trial of a suspect: the one copy of it that may be in flight.

use serde::{Deserialize, Serialize};

/// A trial in the table of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Trial {
    /// Id of the copy in flight; `None` if its target may have died and no other may follow yet.
    pub id: Option<u64>,
    /// When no other copy has to wait any longer, in milliseconds.
    pub until: u64,
}

/// How the copy of a trial ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialEnd {
    /// It completed, was not sent, or was given up; or its target lives.
    #[default]
    Over,
    /// Its target died, or it is not known whether it did.
    TargetLost,
}
