//! What a router knows of an account.

use derive_more::Display;

/// What a router knows of an account, in tokens, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display(
    "total={total} granted={granted} spent={spent} lost={lost} sealed={sealed} \
     others_granted={others_granted} others_used={others_used} others_lost={others_lost}"
)]
pub struct AccountStatus {
    /// Total by the configuration in force.
    pub total: u64,
    /// This VM's share.
    pub granted: u64,
    /// What of it is spent, lost or reserved.
    pub spent: u64,
    /// What of that predecessors may have spent, and nobody knows.
    pub lost: u64,
    /// What of it may not be spent yet.
    pub sealed: u64,
    /// What others were granted.
    pub others_granted: u64,
    /// What others are known to have spent.
    pub others_used: u64,
    /// What dead predecessors of others may have spent, and nobody knows.
    pub others_lost: u64,
}
