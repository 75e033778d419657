//! Options of the `budgets` subcommand.

use gumdrop::Options;

/// Options of the `budgets` subcommand.
#[derive(Clone, Debug, Options)]
pub struct BudgetsOpts {
    /// Prints help.
    pub help: bool,
    /// Random seed for the requests.
    #[options(meta = "N", default = "1", help = "random seed for the requests")]
    pub seed: u64,
    /// Whether to print JSON.
    #[options(help = "print one JSON object per scenario")]
    pub json: bool,
}
