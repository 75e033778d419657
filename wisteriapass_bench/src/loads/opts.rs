//! Options of the `loads` subcommand.

use gumdrop::Options;

use super::{Pattern, Policy};

/// Options of the `loads` subcommand.
#[derive(Clone, Debug, Options)]
pub struct LoadsOpts {
    /// Prints help.
    pub help: bool,
    /// Pattern to simulate.
    #[options(
        meta = "NAME",
        help = "burst, hot, slow, silent, long-short, saturation, lagging or all; default: each in turn"
    )]
    pub pattern: Option<Pattern>,
    /// Policy to simulate.
    #[options(
        meta = "NAME",
        help = "ours, fcfs-round-robin, least-outstanding or two-choices; default: each in turn"
    )]
    pub policy: Option<Policy>,
    /// First seed.
    #[options(meta = "N", default = "1", help = "seed, or the first seed of several")]
    pub seed: u64,
    /// Number of seeds.
    #[options(
        meta = "N",
        default = "1",
        help = "number of seeds; figures are medians over the seeds"
    )]
    pub seeds: u32,
    /// Features of our policy to disable.
    #[options(
        meta = "FEATURES",
        help = "features of our policy to disable, comma-separated"
    )]
    pub without: Option<String>,
    /// Settings of our policy that override the defaults.
    #[options(
        meta = "KEY=VALUE,...",
        help = "settings of our policy to override, comma-separated"
    )]
    pub set: Option<String>,
    /// Whether to print JSON.
    #[options(help = "print one JSON line per policy")]
    pub json: bool,
    /// Whether to measure the cost of a scheduling decision instead.
    #[options(help = "measure the cost of a scheduling decision instead")]
    pub cost: bool,
}
