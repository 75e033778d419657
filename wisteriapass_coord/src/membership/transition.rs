//! State transitions of members.

use crate::membership::MemberState;

/// State transition of a member, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Name of the member.
    pub name: String,
    /// Previous state.
    pub from: MemberState,
    /// New state.
    pub to: MemberState,
}
