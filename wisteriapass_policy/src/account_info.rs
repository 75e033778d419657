//! What the rules say of a client account.

/// What the rules say of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountInfo {
    /// Name, unique.
    pub name: String,
    /// Weight of its fair share; zero counts as one.
    pub weight: u32,
}
