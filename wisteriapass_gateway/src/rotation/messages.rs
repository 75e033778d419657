//! Messages between routers about rotation.

use serde::{Deserialize, Serialize};
use wisteriapass_coord::prepaid::HolderId;
use wisteriapass_policy::rotation::{ExitAnswer, RotationDecision};

/// Path of a router's report to the coordinator of its failure domain.
pub const ROTATION_PATH: &str = "/relay/rotation";

/// Path of a request for the consent of another failure domain.
pub const EXIT_PATH: &str = "/relay/rotation/leave";

/// A relay's answer to a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RotationAnswer {
    /// The coordinator of the failure domain, as this relay sees it.
    pub coordinator: HolderId,
    /// The decision, if this relay is the coordinator.
    pub decision: Option<RotationDecision>,
    /// Time for which the decision is valid, counted from the report, in milliseconds.
    pub valid_ms: u64,
}

/// A relay's answer to a request for consent.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum ConsentAnswer {
    /// The answer of the coordinator.
    Decided(ExitAnswer),
    /// This relay is not the coordinator, or does not know its domain well enough yet.
    Undecided,
}
