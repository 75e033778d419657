//! Features of the policy that can be disabled to measure their effect.

use serde::{Deserialize, Serialize};

/// Enabled features of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Features {
    /// Refuse requests at once that cannot be served in time.
    pub admission: bool,
    /// Fair shares between client accounts.
    pub fairness: bool,
    /// Priority classes.
    pub priority: bool,
    /// Slots reserved for interactive work.
    pub reserve: bool,
    /// Shed the least valuable requests when the queue is too long.
    pub shedding: bool,
    /// Avoid slow, silent and failing targets.
    pub health: bool,
    /// Send requests with the same prefix to the same targets.
    pub affinity: bool,
    /// Damping against stale load reports.
    pub damping: bool,
    /// Limit on retries and hedges.
    pub try_budget: bool,
    /// Second copies of late idempotent requests.
    pub hedging: bool,
    /// Retry times that are spread over the account's fair share.
    pub come_back: bool,
}

impl Default for Features {
    fn default() -> Self {
        Self {
            admission: true,
            fairness: true,
            priority: true,
            reserve: true,
            shedding: true,
            health: true,
            affinity: true,
            damping: true,
            try_budget: true,
            hedging: true,
            come_back: true,
        }
    }
}

impl Features {
    /// Names accepted by [`Features::without`].
    pub const NAMES: [&'static str; 11] = [
        "admission",
        "fairness",
        "priority",
        "reserve",
        "shedding",
        "health",
        "affinity",
        "damping",
        "try_budget",
        "hedging",
        "come_back",
    ];

    /// Returns the features with the named one disabled, or `None` if there is no such feature.
    pub fn without(mut self, name: &str) -> Option<Self> {
        let part = match name {
            "admission" => &mut self.admission,
            "fairness" => &mut self.fairness,
            "priority" => &mut self.priority,
            "reserve" => &mut self.reserve,
            "shedding" => &mut self.shedding,
            "health" => &mut self.health,
            "affinity" => &mut self.affinity,
            "damping" => &mut self.damping,
            "try_budget" => &mut self.try_budget,
            "hedging" => &mut self.hedging,
            "come_back" => &mut self.come_back,
            _ => return None,
        };
        *part = false;
        Some(self)
    }
}
