//! Messages about grants between a follower and its relay.
//!
//! All figures are sums over the life of a credit line and only grow, so a message that is lost,
//! duplicated or late does no harm.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prepaid::HolderId;

/// Identifies a credit line. A follower process opens one for each relay process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CreditLineId {
    /// VM of the follower.
    pub follower: HolderId,
    /// Drawn at random when the line is opened.
    pub nonce: u64,
}

/// A follower's call to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantCall {
    /// Credit line of the call.
    pub line: CreditLineId,
    /// Process of the relay that is meant; `None` if the follower does not know it yet.
    pub relay: Option<u64>,
    /// What was spent and is requested, by account.
    pub accounts: SmallVec<[AccountUsage; 2]>,
}

/// What a follower spent and requests of one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Name of the account.
    pub name: String,
    /// Spent of what was granted, in tokens.
    pub settled: u64,
    /// Returned of it, in tokens.
    pub returned: u64,
    /// Sum that has to be granted to cover everything that is spent, returned, reserved or waited
    /// for, in tokens.
    pub requested: u64,
}

/// A relay's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Process of the relay.
    pub relay: u64,
    /// Whether the line is not valid at this relay, so that the follower has to open another one.
    pub is_unknown_line: bool,
    /// What is granted of the accounts in the call, and of those with something outstanding.
    pub accounts: SmallVec<[AccountGrant; 2]>,
}

/// What is granted of one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountGrant {
    /// Name of the account.
    pub name: String,
    /// Granted on this line, in tokens.
    pub granted: u64,
}
