//! Answers to requests for consent.

use serde::{Deserialize, Serialize};

use super::ExitRefusal;

/// Answer to a request for consent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitAnswer {
    /// The domain consents, and promises to stay in rotation for a while.
    Consent,
    /// The domain refuses.
    Refused(ExitRefusal),
}
