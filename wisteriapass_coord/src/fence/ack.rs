//! A side process's answer to a fence.

use serde::{Deserialize, Serialize};

use crate::once::FenceAck;

/// What one incarnation of a side process says of a fenced origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideAck {
    /// Incarnation that answers, and that refuses the origin from now on.
    pub incarnation: String,
    /// What it knows.
    pub ack: FenceAck,
}
