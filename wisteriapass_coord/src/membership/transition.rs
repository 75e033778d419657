//! Change of a member's state.

use crate::membership::MemberState;

/// A member whose state changed, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Name of the member.
    pub name: String,
    /// State until now.
    pub from: MemberState,
    /// State from now on.
    pub to: MemberState,
}
