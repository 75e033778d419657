//! Tokens that a router holds beyond what is spent.

/// Tokens of all accounts together that one router holds, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Granted to this router and not spent.
    pub granted_unspent: u64,
    /// The part of it that may be spent now; it is lost if the router dies.
    pub open_unspent: u64,
    /// May have been spent by predecessors on this VM; how much of it is unknown.
    pub lost: u64,
}

impl Outstanding {
    /// Returns the sum of two amounts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            granted_unspent: self.granted_unspent + other.granted_unspent,
            open_unspent: self.open_unspent + other.open_unspent,
            lost: self.lost + other.lost,
        }
    }
}
