/// A client account as configured in the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountInfo {
    /// Unique name.
    pub name: String,
    /// Weight of its fair share; zero counts as one.
    pub weight: u32,
}
