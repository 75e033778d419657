//! Whether a router accepts new callers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a router accepts new callers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The router is in rotation.
    #[display("serving")]
    Serving,
    /// The router is not in rotation; it serves the requests that arrive nevertheless.
    #[display("standby")]
    Standby,
}
