//! Changes of a router's standing or mark.

use super::{ChangeReason, Crowding, Standing};

/// A change of a router's standing or mark, with the values that determined it.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the router.
    pub router: String,
    /// Its standing from now on.
    pub standing: Standing,
    /// Why it changes.
    pub reason: ChangeReason,
    /// What the router had too little of when it was marked; `None` if this change marks nothing.
    pub marked_for: Option<Crowding>,
    /// Duration of the router's last mark, in milliseconds; 0 if it never had one.
    pub mark_ms: u64,
    /// Link utilization in the router's last report.
    pub utilization: f64,
    /// Number of the domain's routers that serve after the change.
    pub serving: usize,
    /// Number of the domain's routers.
    pub routers: usize,
}
