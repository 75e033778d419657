//! Inquiries to witnesses about a dead router.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prepaid::HolderId;

/// Asks a witness what it knows of a router process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inquiry {
    /// Process of the witness that is asked; any other process does not answer.
    pub witness: u64,
    /// VM of the router.
    pub holder: HolderId,
    /// Process of the router.
    pub process: u64,
}

/// What a witness knows of a router process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InquiryAnswer {
    /// Highest spending limit that was reported, by account, in tokens.
    pub spend_limits: BTreeMap<String, u64>,
    /// Time since the process was certainly alive and bound by this witness, in milliseconds.
    pub silent_ms: u64,
}
