//! One router's share of one account.

use serde::{Deserialize, Serialize};

/// What a router holds of an account's total, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 5]", into = "[u64; 5]")]
pub struct Share {
    /// The most that the router and its predecessors on this VM may ever have spent.
    pub granted: u64,
    /// The part that is known to be spent.
    pub used: u64,
    /// The unspent part that may be spent only as far as the holder's [`Opening`] and its witnesses
    /// allow.
    ///
    /// [`Opening`]: crate::prepaid::Opening
    pub sealed: u64,
    /// What dead predecessors may have spent beyond `used`.
    pub lost: u64,
    /// What the router would like to have unspent for its demand.
    pub wish: u64,
}

impl Share {
    /// Returns the part that may be spent at any time and is not known to be spent.
    pub fn open(&self) -> u64 {
        self.granted
            .saturating_sub(self.used + self.sealed + self.lost)
    }

    /// Hands the share over to the successor of a dead router, which can have spent at most
    /// `unsealed` tokens of the sealed part.
    pub fn take_over(&mut self, unsealed: u64) {
        let intact = self.sealed.saturating_sub(unsealed);
        self.granted -= intact.min(self.granted);
        self.sealed = 0;
        self.lost = self.granted.saturating_sub(self.used);
        self.wish = 0;
    }
}

impl From<[u64; 5]> for Share {
    fn from([granted, used, sealed, lost, wish]: [u64; 5]) -> Self {
        Self {
            granted,
            used,
            sealed,
            lost,
            wish,
        }
    }
}

impl From<Share> for [u64; 5] {
    fn from(share: Share) -> Self {
        [
            share.granted,
            share.used,
            share.sealed,
            share.lost,
            share.wish,
        ]
    }
}
