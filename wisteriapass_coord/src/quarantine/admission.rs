//! Whether a copy of a suspect may be sent.

use serde::{Deserialize, Serialize};

/// Answer to a router that wants to send a copy of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// It may be sent, as a trial.
    Granted,
    /// Another copy is in flight, or the request is banned.
    Refused,
}
