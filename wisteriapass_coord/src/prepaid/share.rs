//! One router's share of one account.

use serde::{Deserialize, Serialize};

/// What a router took of an account's total, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 5]", into = "[u64; 5]")]
pub struct Share {
    /// The most that the router and its predecessors on this VM may ever have spent.
    pub granted: u64,
    /// What of it is known to be spent.
    pub used: u64,
    /// What of the unspent part may be opened only after a time out of touch.
    pub sealed: u64,
    /// What dead predecessors may have spent beyond what is known.
    pub lost: u64,
    /// What the router would like to have unspent, going by its draw.
    pub wish: u64,
}

impl Share {
    /// Returns the part that may be spent at any time and is not known to be spent.
    pub fn open(&self) -> u64 {
        self.granted
            .saturating_sub(self.used + self.sealed + self.lost)
    }

    /// Hands the share to a successor of a dead router, of whose sealed part `opened` tokens at the
    /// most can have been spent.
    pub fn take_over(&mut self, opened: u64) {
        let whole = self.sealed.saturating_sub(opened);
        self.granted -= whole.min(self.granted);
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
