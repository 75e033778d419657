//! Leaving marks that one message relays, bounded in number.

use derive_more::{Deref, From};
use serde::{Deserialize, Serialize};

use crate::membership::LeavingMark;

/// Most marks in one message: about a kilobyte, so that a rack that leaves (some 20 VMs) is told
/// in two messages and an ordinary day's two or three marks in one.
pub const MAX_DIGEST_MARKS: usize = 12;

/// Leaving marks to relay; a receiver reads at most [`MAX_DIGEST_MARKS`] of them.
#[derive(Clone, Debug, Default, Deref, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MarkDigest(Vec<LeavingMark>);
