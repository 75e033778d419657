//! Identifies a witness: a process that remembers what routers may have spent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One process of a witness; what it knew is lost when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WitnessId {
    /// Address at which it listens.
    pub at: SocketAddr,
    /// Drawn at random when its process starts.
    pub process: u64,
}
