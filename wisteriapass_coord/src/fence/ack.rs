//! Acknowledgement of a fence by a side process.

use serde::{Deserialize, Serialize};

use crate::once::FenceAck;

/// Acknowledgement of a fenced origin by one incarnation of a side process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideAck {
    /// Incarnation that acknowledges the fence and refuses the origin from now on.
    pub incarnation: String,
    /// Spending and running work of the origin on this side process.
    pub ack: FenceAck,
}
