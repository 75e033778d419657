//! Bounded set of leaving marks that a message relays.

use derive_more::{Deref, From};
use serde::{Deserialize, Serialize};

use crate::membership::LeavingMark;

/// Maximum number of marks in a message, which take about a kilobyte.
///
/// Two messages relay the loss of a whole rack (some 20 VMs); one message holds the two or three
/// marks of an ordinary day.
pub const MAX_DIGEST_MARKS: usize = 12;

/// Leaving marks to relay. A receiver reads at most [`MAX_DIGEST_MARKS`] of them.
#[derive(Clone, Debug, Default, Deref, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MarkDigest(Vec<LeavingMark>);
