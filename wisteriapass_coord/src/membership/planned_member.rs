//! A member as the inventory plans it.

/// One member as the inventory plans it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMember<'a> {
    /// Name.
    pub name: &'a str,
    /// Whether operators want it emptied.
    pub draining: bool,
}
