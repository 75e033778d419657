//! Status of an account as one router knows it.

use derive_more::Display;

/// Status of an account as one router knows it, in tokens, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display(
    "total={} granted={granted} spent={spent} lost={lost} sealed={sealed} unproved={unproved} \
          others_granted={others_granted} others_used={others_used} others_lost={others_lost}",
    total.map_or_else(|| "unknown".to_owned(), |total| total.to_string())
)]
pub struct AccountStatus {
    /// Total by the configuration in force; `None` if it is not known.
    pub total: Option<u64>,
    /// Share of this VM.
    pub granted: u64,
    /// Spent, lost or reserved part of the share.
    pub spent: u64,
    /// Part of the share that predecessors may have spent; how much of it is unknown.
    pub lost: u64,
    /// Part of the share that may not be spent yet.
    pub sealed: u64,
    /// Part of the share that may be spent now and is not; it is lost if the router dies.
    pub unproved: u64,
    /// Granted to other routers.
    pub others_granted: u64,
    /// Known to be spent by other routers.
    pub others_used: u64,
    /// May have been spent by dead predecessors of other routers; how much of it is unknown.
    pub others_lost: u64,
}
