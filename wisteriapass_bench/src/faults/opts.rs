//! Options of the `faults` subcommand.

use gumdrop::Options;

/// Options of the `faults` subcommand.
#[derive(Clone, Debug, Options)]
pub struct FaultsOpts {
    /// Prints help.
    pub help: bool,
    /// Seed of the faults and the load.
    #[options(meta = "N", default = "1", help = "seed of the faults and the load")]
    pub seed: u64,
    /// Duration of the load, in seconds.
    #[options(meta = "S", default = "30", help = "duration of the load, in seconds")]
    pub seconds: u64,
    /// Whether to print JSON.
    #[options(help = "print one JSON object")]
    pub json: bool,
    /// Whether to print the faults as they occur.
    #[options(help = "print each fault to standard error as it occurs")]
    pub verbose: bool,
}
