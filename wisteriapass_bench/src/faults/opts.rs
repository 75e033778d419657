//! Options of the `faults` subcommand.

use gumdrop::Options;

/// Options of the `faults` subcommand.
#[derive(Clone, Debug, Options)]
pub struct FaultsOpts {
    /// Prints help.
    pub help: bool,
    /// Seed of faults and load.
    #[options(meta = "N", default = "1", help = "seed of faults and load")]
    pub seed: u64,
    /// Length of the load, in seconds.
    #[options(meta = "S", default = "30", help = "length of the load, in seconds")]
    pub seconds: u64,
    /// Whether to print JSON.
    #[options(help = "print one JSON object")]
    pub json: bool,
    /// Whether to print the faults as they come.
    #[options(help = "print each fault to standard error as it comes")]
    pub verbose: bool,
}
