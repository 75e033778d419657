//! A member as planned by the inventory.

/// A member as planned by the inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMember<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// Whether operators are draining the member.
    pub draining: bool,
}
