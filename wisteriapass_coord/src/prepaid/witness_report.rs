//! What a router tells a witness, and what it hears back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prepaid::HolderId;

/// A router process lives, and may spend up to some levels.
///
/// Levels are absolute and only grow: a report that is lost, doubled or late does no harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReport {
    /// VM of the router.
    pub holder: HolderId,
    /// Process of the router.
    pub process: u64,
    /// Level up to which shares may be spent, by account, in tokens.
    pub spend_limits: BTreeMap<String, u64>,
    /// The last receipt that the router has of this witness: it was sent before this report.
    pub last_receipt: Option<Receipt>,
}

/// A witness remembers a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Process of the witness.
    pub witness: u64,
    /// When it was sent, by the witness's boot clock, in milliseconds.
    pub sent_ms: u64,
}
