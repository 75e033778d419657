//! Options of the `loads` subcommand.

use gumdrop::Options;

use super::{Pattern, Policy};

/// Options of the `loads` subcommand.
#[derive(Clone, Debug, Options)]
pub struct LoadsOpts {
    /// Prints help.
    pub help: bool,
    /// Pattern to play.
    #[options(
        meta = "NAME",
        help = "burst, hot, slow, silent, long-short, saturation, lagging or all; each in turn if none"
    )]
    pub pattern: Option<Pattern>,
    /// Policy to play.
    #[options(
        meta = "NAME",
        help = "ours, fcfs-round-robin, least-outstanding or two-choices; every one if none"
    )]
    pub policy: Option<Policy>,
    /// First seed.
    #[options(meta = "N", default = "1", help = "seed, or the first of several")]
    pub seed: u64,
    /// Number of seeds.
    #[options(
        meta = "N",
        default = "1",
        help = "how many seeds; figures are their medians"
    )]
    pub seeds: u32,
    /// Parts of our policy to switch off.
    #[options(meta = "PARTS", help = "parts of our policy to switch off, by commas")]
    pub without: Option<String>,
    /// Whether to print JSON.
    #[options(help = "print one JSON line a policy")]
    pub json: bool,
    /// Whether to measure the cost of a decision instead.
    #[options(help = "measure the cost of a decision instead")]
    pub cost: bool,
}
