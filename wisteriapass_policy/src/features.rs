//! Parts of the policy that can be switched off to see what goes wrong without them.

use serde::{Deserialize, Serialize};

/// Which parts of the policy are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Features {
    /// Refusing at once what cannot be done in time.
    pub admission: bool,
    /// Fair shares between client accounts.
    pub fairness: bool,
    /// Priority classes.
    pub priority: bool,
    /// Slots kept for interactive work.
    pub reserve: bool,
    /// Giving up the least valuable when the queue is too long.
    pub shedding: bool,
    /// Avoiding slow, silent and failing targets.
    pub health: bool,
    /// Sending shared prefixes to the same targets.
    pub affinity: bool,
    /// Damping against stale load reports.
    pub damping: bool,
    /// The limit on retries and hedges.
    pub try_budget: bool,
    /// Second copies of late idempotent work.
    pub hedging: bool,
    /// Come-back times that are spread over what the account's share can do.
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
    /// Names that [`Parts::without`] knows.
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

    /// Returns the parts with the named one switched off, or nothing if there is none such.
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
