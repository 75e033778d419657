//! Whether a target holds the shared prefix of a prompt.

use derive_more::Display;

/// Share of a prompt's shared tokens that its second home is assumed to hold. The second home takes
/// what the first has no capacity for, and rarely holds all of it.
const SECOND_HOME_SHARE: f64 = 0.5;

/// Why a target is assumed to hold the shared prefix of a prompt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HeldPrefix {
    /// It is not, or the prompt has none.
    #[display("none")]
    None,
    /// This router sent it there recently.
    #[display("sent")]
    Sent,
    /// The target is its home.
    #[display("home")]
    Home,
    /// The target is its second home, which holds a part.
    #[display("second_home")]
    SecondHome,
}

impl HeldPrefix {
    /// Returns the share of the prefix that the target need not read.
    pub fn share(self) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Sent | Self::Home => 1.0,
            Self::SecondHome => SECOND_HOME_SHARE,
        }
    }
}
