//! Decisions of a coordinator for one router.

use serde::{Deserialize, Serialize};

use super::{MarkAge, Standing};

/// A coordinator's decision for one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RotationDecision {
    /// Whether the router accepts new callers; `None` if the router decides by itself.
    pub standing: Option<Standing>,
    /// The router's last mark, if any.
    pub mark: Option<MarkAge>,
    /// Whether the failure domain left rotation.
    pub is_domain_out: bool,
    /// Number of routers of the failure domain that the coordinator knows.
    pub domain_size: u32,
    /// Whether the coordinator needs frequent reports: the routers differ enough for any of them to
    /// stand by, or another domain relies on this one.
    pub needs_reports: bool,
}
