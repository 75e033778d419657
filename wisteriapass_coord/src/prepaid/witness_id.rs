//! Names a witness: a process that remembers what routers may have spent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One start of a witness; what it knew is gone with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WitnessId {
    /// Where it listens.
    pub at: SocketAddr,
    /// Drawn at the start of its process.
    pub process: u64,
}
