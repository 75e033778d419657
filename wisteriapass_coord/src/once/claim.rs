//! The claim that makes a request run at most once.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::once::{Attempt, Place};

/// Id of the operation that wrote a claim, by which a lost answer is recognised.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimOpId(pub String);

/// Who may run a request, as written in the service before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Incarnation of the side process that may run it; it is never sent to another under this
    /// attempt.
    pub place: Place,
    /// The attempt that may run.
    pub attempt: Attempt,
    /// Operation that wrote it.
    pub op: ClaimOpId,
    /// When the claim may be swept: no repeat of the request comes later.
    pub until: Millis,
}
