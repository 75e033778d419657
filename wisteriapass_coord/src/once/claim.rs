//! The claim that lets a request run at most once.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::once::{Attempt, Place};

/// Id of the operation that wrote a claim.
///
/// If the answer to a write is lost, the id in the stored claim shows that the write succeeded.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimOpId(pub String);

/// Permission to run a request, written to the key-value service before the request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Incarnation of the side process that may run the request.
    ///
    /// Under this attempt, the request is never sent to any other.
    pub place: Place,
    /// Attempt that may run.
    pub attempt: Attempt,
    /// Operation that wrote the claim.
    pub op: ClaimOpId,
    /// Expiry of the claim, after which no repeat of the request is expected.
    pub until: Millis,
}
