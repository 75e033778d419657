//! How long silence is tolerated.

use std::time::Duration;

/// Silence after which a member is suspect and then gone.
///
/// Suspicion costs little (no new work until heard again) and comes early; gone starts fencing,
/// which strands money, and comes only after a pause that a live VM hardly ever takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Silence until suspect; a few heartbeats.
    pub suspect_after: Duration,
    /// Silence until gone.
    pub gone_after: Duration,
    /// How long a new leaving mark is relayed to others.
    pub relay_for: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(3),
            gone_after: Duration::from_secs(30),
            relay_for: Duration::from_secs(30),
        }
    }
}

impl Timeouts {
    /// Returns timeouts for heartbeats this far apart: three may be late before suspicion.
    pub fn for_heartbeat_period(period: Duration) -> Self {
        let usual = Self::default();
        Self {
            suspect_after: usual.suspect_after.max(period * 3),
            gone_after: usual.gone_after.max(period * 10),
            ..usual
        }
    }
}
