//! Sizes of the measured fleets.

use std::str::FromStr;

use derive_more::Display;
use serde::Serialize;

/// What one measured fleet consists of and does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Targets, each with its side process.
    pub targets: usize,
    /// Client accounts, each with one budget.
    pub budgets: usize,
    /// Requests a second, over all routers.
    pub requests_a_second: u64,
    /// Output tokens of each request.
    pub tokens: usize,
    /// Configuration edits a minute.
    pub edits_a_minute: u64,
}

/// Smallest size, from which each axis grows.
const SMALLEST: Size = Size {
    routers: 2,
    targets: 4,
    budgets: 10,
    requests_a_second: 0,
    tokens: 20,
    edits_a_minute: 0,
};

/// Edits a minute while processes are counted: one in 2 s, so that each is in force everywhere
/// before the next.
const MANY_EDITS: u64 = 30;

/// Requests a second while their output grows.
const TOKEN_REQUESTS: u64 = 20;

/// What grows from size to size.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Targets.
    #[display("targets")]
    Targets,
    /// Routers.
    #[display("routers")]
    Routers,
    /// Budgets.
    #[display("budgets")]
    Budgets,
    /// Requests a second.
    #[display("requests")]
    Requests,
    /// Output tokens of a request, at a fixed rate of requests.
    #[display("tokens")]
    Tokens,
    /// Configuration edits a minute.
    #[display("edits")]
    Edits,
    /// Processes, with an edit every few seconds.
    #[display("processes")]
    Processes,
}

impl Axis {
    /// All axes.
    pub const ALL: [Self; 7] = [
        Self::Targets,
        Self::Routers,
        Self::Budgets,
        Self::Requests,
        Self::Tokens,
        Self::Edits,
        Self::Processes,
    ];

    /// Returns the sizes to measure.
    pub fn sizes(self) -> Vec<Size> {
        let steps: &[usize] = match self {
            Self::Targets => &[4, 12, 24, 48],
            Self::Routers => &[2, 8, 16, 32],
            Self::Budgets => &[10, 300, 1_000, 3_000],
            Self::Requests => &[0, 20, 60, 120],
            Self::Tokens => &[10, 60, 180],
            Self::Edits => &[0, 15, 60],
            Self::Processes => &[3, 10, 40],
        };
        steps.iter().map(|n| self.size(*n)).collect()
    }

    /// Returns the place of a size on this axis.
    pub fn of(self, size: &Size) -> f64 {
        match self {
            Self::Targets => size.targets as f64,
            Self::Routers => size.routers as f64,
            Self::Budgets => size.budgets as f64,
            Self::Requests => size.requests_a_second as f64,
            Self::Tokens => size.tokens as f64,
            Self::Edits => size.edits_a_minute as f64,
            Self::Processes => (size.routers + size.targets) as f64,
        }
    }

    fn size(self, n: usize) -> Size {
        let mut size = SMALLEST;
        match self {
            Self::Targets => size.targets = n,
            Self::Routers => size.routers = n,
            Self::Budgets => size.budgets = n,
            Self::Requests => size.requests_a_second = n as u64,
            Self::Tokens => {
                size.requests_a_second = TOKEN_REQUESTS;
                size.tokens = n;
            }
            Self::Edits => size.edits_a_minute = n as u64,
            Self::Processes => {
                size.routers = n.div_ceil(4);
                size.targets = n - size.routers;
                size.edits_a_minute = MANY_EDITS;
            }
        }
        size
    }
}

impl FromStr for Axis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let named = Self::ALL.into_iter().find(|a| a.to_string() == text);
        named.ok_or_else(|| format!("{text}: no such axis; see --help"))
    }
}
