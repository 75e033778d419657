//! Reports of routers to witnesses, and their receipts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prepaid::HolderId;

/// States that a router process is alive, and how far it may spend.
///
/// Limits are absolute and only grow, so a report that is lost, duplicated or late does no harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReport {
    /// VM of the router.
    pub holder: HolderId,
    /// Process of the router.
    pub process: u64,
    /// Limit up to which shares may be spent, by account, in tokens.
    pub spend_limits: BTreeMap<String, u64>,
    /// Last receipt that the router has from this witness; it was sent before this report.
    pub last_receipt: Option<WitnessReceipt>,
}

/// Confirms that a witness recorded a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReceipt {
    /// Process of the witness.
    pub witness: u64,
    /// When it was sent, by the witness's boot clock, in milliseconds.
    pub sent_ms: u64,
}
