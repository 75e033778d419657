//! Sizes of the measured fleets and the axes along which they grow.

use std::str::FromStr;

use derive_more::Display;
use serde::Serialize;

/// Size and load of one measured fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Number of routers.
    pub routers: usize,
    /// Number of targets, each with its side process.
    pub targets: usize,
    /// Number of client accounts, each with one budget.
    pub budgets: usize,
    /// Requests per second, over all routers.
    pub requests_a_second: u64,
    /// Output tokens of each request.
    pub tokens: usize,
    /// Configuration edits per minute.
    pub edits_a_minute: u64,
}

/// Smallest size, which each axis starts from.
const BASE_SIZE: Size = Size {
    routers: 2,
    targets: 4,
    budgets: 10,
    requests_a_second: 0,
    tokens: 20,
    edits_a_minute: 0,
};

/// Edits per minute on the processes axis: one every 2 s, so that each is in force at every process
/// before the next.
const PROCESSES_EDITS_PER_MINUTE: u64 = 30;

/// Requests per second on the tokens axis.
const TOKENS_REQUESTS_PER_SECOND: u64 = 20;

/// Parameter that grows from size to size.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Number of targets.
    #[display("targets")]
    Targets,
    /// Number of routers.
    #[display("routers")]
    Routers,
    /// Number of budgets.
    #[display("budgets")]
    Budgets,
    /// Requests per second.
    #[display("requests")]
    Requests,
    /// Output tokens of each request, at a fixed request rate.
    #[display("tokens")]
    Tokens,
    /// Configuration edits per minute.
    #[display("edits")]
    Edits,
    /// Number of processes, with an edit every 2 s.
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
        steps.iter().map(|n| self.size_at(*n)).collect()
    }

    /// Returns the coordinate of a size on this axis.
    pub fn value(self, size: &Size) -> f64 {
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

    fn size_at(self, n: usize) -> Size {
        let mut size = BASE_SIZE;
        match self {
            Self::Targets => size.targets = n,
            Self::Routers => size.routers = n,
            Self::Budgets => size.budgets = n,
            Self::Requests => size.requests_a_second = n as u64,
            Self::Tokens => {
                size.requests_a_second = TOKENS_REQUESTS_PER_SECOND;
                size.tokens = n;
            }
            Self::Edits => size.edits_a_minute = n as u64,
            Self::Processes => {
                size.routers = n.div_ceil(4);
                size.targets = n - size.routers;
                size.edits_a_minute = PROCESSES_EDITS_PER_MINUTE;
            }
        }
        size
    }
}

impl FromStr for Axis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let axis = Self::ALL.into_iter().find(|a| a.to_string() == text);
        axis.ok_or_else(|| format!("{text}: unknown axis; see --help"))
    }
}
