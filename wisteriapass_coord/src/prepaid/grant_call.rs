//! What a follower and its relay tell each other of shares.
//!
//! All figures are sums over the life of a line and only grow: a message that is lost, doubled or
//! late does no harm.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prepaid::HolderId;

/// Names one line of credit: a follower process draws one for each relay process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CreditLineId {
    /// VM of the follower.
    pub follower: HolderId,
    /// Drawn at random when the line is opened.
    pub nonce: u64,
}

/// A follower's word to a relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantCall {
    /// The line that it is about.
    pub line: CreditLineId,
    /// Process of the relay that is meant; none if the follower does not know it yet.
    pub relay: Option<u64>,
    /// What was spent and is wanted.
    pub accounts: SmallVec<[AccountUsage; 2]>,
}

/// A follower's word on one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Name of the account.
    pub name: String,
    /// Spent of what was granted, in tokens.
    pub settled: u64,
    /// Given back of it, in tokens.
    pub returned: u64,
    /// What ought to have been granted for all that is spent, given back, reserved or waits, in
    /// tokens.
    pub requested: u64,
}

/// A relay's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Process of the relay.
    pub relay: u64,
    /// Whether the relay knows the line no more, so that the follower has to open another.
    pub is_unknown_line: bool,
    /// What is granted of the accounts asked about, and of those with something open.
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
