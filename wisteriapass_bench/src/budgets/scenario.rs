//! Scenarios of load, outages and failures for the budget simulation.

use derive_more::Display;
use serde::Serialize;

/// Number of routers.
pub const ROUTERS: usize = 6;

/// Number of budgets, of which the first three take most of the load.
pub const BUDGETS: usize = 10;

/// Duration of a simulation, in milliseconds.
pub const DURATION_MS: u64 = 1_500_000;

/// Start of the disturbance, in milliseconds.
pub const DISTURBANCE_START_MS: u64 = 300_000;

/// End of the disturbance, ten minutes after its start, in milliseconds.
pub const DISTURBANCE_END_MS: u64 = 900_000;

/// Time from the death of a router to the recovery of its tokens, in milliseconds: its lease
/// expires, it is fenced and its grants are retired.
pub const RECOVERY_MS: u64 = 30_000;

/// Simulated scenario.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// No disturbance.
    #[display("quiet")]
    Quiet,
    /// One router gets 80% of the load.
    #[display("skewed")]
    Skewed,
    /// Budgets run out midway and get frequent small top-ups.
    #[display("nearly empty")]
    NearlyEmpty,
    /// The key-value service is unavailable for ten minutes.
    #[display("service down")]
    ServiceDown,
    /// The network separates the routers into two halves for ten minutes; only one half reaches the
    /// key-value service.
    #[display("partition")]
    Partition,
    /// One router dies and is not restarted.
    #[display("router loss")]
    RouterLoss,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::Quiet,
        Self::Skewed,
        Self::NearlyEmpty,
        Self::ServiceDown,
        Self::Partition,
        Self::RouterLoss,
    ];

    /// Returns the tokens prepaid at the start, as a multiple of the expected demand.
    ///
    /// Multiples above 1 are realistic: a simulation lasts 25 minutes, while budgets are bought for
    /// days.
    pub fn prepaid_ratio(self) -> f64 {
        match self {
            Self::Quiet | Self::ServiceDown | Self::Partition => 8.0,
            Self::Skewed | Self::RouterLoss => 1.3,
            Self::NearlyEmpty => 0.3,
        }
    }

    /// Returns whether the disturbance is active.
    pub fn is_disturbed(self, now_ms: u64) -> bool {
        (DISTURBANCE_START_MS..DISTURBANCE_END_MS).contains(&now_ms)
    }

    /// Returns whether a router can reach the key-value service.
    pub fn can_reach_store(self, router: usize, now_ms: u64) -> bool {
        match self {
            Self::ServiceDown => !self.is_disturbed(now_ms),
            Self::Partition => !self.is_disturbed(now_ms) || is_first_half(router),
            Self::Quiet | Self::Skewed | Self::NearlyEmpty | Self::RouterLoss => true,
        }
    }

    /// Returns whether two routers can reach each other.
    pub fn can_reach_router(self, a: usize, b: usize, now_ms: u64) -> bool {
        let is_partitioned = self == Self::Partition && self.is_disturbed(now_ms);
        !is_partitioned || is_first_half(a) == is_first_half(b)
    }

    /// Returns whether a router is alive.
    pub fn is_alive(self, router: usize, now_ms: u64) -> bool {
        self != Self::RouterLoss || router != 0 || now_ms < DISTURBANCE_START_MS
    }
}

fn is_first_half(router: usize) -> bool {
    router < ROUTERS / 2
}
