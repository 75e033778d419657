//! What befalls the fleet while budgets are spent.

use derive_more::Display;
use serde::Serialize;

/// Routers.
pub const ROUTERS: usize = 6;

/// Budgets, of which the first three take most of the load.
pub const BUDGETS: usize = 10;

/// Length of a play, in milliseconds.
pub const DURATION_MS: u64 = 1_500_000;

/// When the disturbance begins, in milliseconds.
pub const DISTURBANCE_START_MS: u64 = 300_000;

/// When it ends: ten minutes later.
pub const DISTURBANCE_END_MS: u64 = 900_000;

/// Time from a router's death to the return of its money, in milliseconds: lease, fence, retire.
pub const RECOVERY_MS: u64 = 30_000;

/// What befalls the fleet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing.
    #[display("quiet")]
    Quiet,
    /// One router gets 80% of the callers.
    #[display("skewed")]
    Skewed,
    /// Budgets run out in the middle and are topped up a little, again and again.
    #[display("nearly empty")]
    NearlyEmpty,
    /// The key-value service is down for ten minutes.
    #[display("service down")]
    ServiceDown,
    /// Routers fall into two halves for ten minutes; one half reaches the service.
    #[display("partition")]
    Partition,
    /// One router dies and does not come back.
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

    /// Returns what is prepaid at the start, as a multiple of the play's expected demand.
    ///
    /// A play lasts 25 minutes; budgets are bought for days.
    pub fn prepaid_ratio(self) -> f64 {
        match self {
            Self::Quiet | Self::ServiceDown | Self::Partition => 8.0,
            Self::Skewed | Self::RouterLoss => 1.3,
            Self::NearlyEmpty => 0.3,
        }
    }

    /// Returns whether the disturbance is on.
    pub fn is_disturbed(self, now_ms: u64) -> bool {
        (DISTURBANCE_START_MS..DISTURBANCE_END_MS).contains(&now_ms)
    }

    /// Returns whether a router reaches the key-value service.
    pub fn can_reach_store(self, router: usize, now_ms: u64) -> bool {
        match self {
            Self::ServiceDown => !self.is_disturbed(now_ms),
            Self::Partition => !self.is_disturbed(now_ms) || is_first_half(router),
            Self::Quiet | Self::Skewed | Self::NearlyEmpty | Self::RouterLoss => true,
        }
    }

    /// Returns whether two routers reach each other.
    pub fn can_reach_router(self, a: usize, b: usize, now_ms: u64) -> bool {
        let is_cut = self == Self::Partition && self.is_disturbed(now_ms);
        !is_cut || is_first_half(a) == is_first_half(b)
    }

    /// Returns whether a router lives.
    pub fn is_alive(self, router: usize, now_ms: u64) -> bool {
        self != Self::RouterLoss || router != 0 || now_ms < DISTURBANCE_START_MS
    }
}

fn is_first_half(router: usize) -> bool {
    router < ROUTERS / 2
}
