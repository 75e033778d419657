//! Load patterns played in virtual time against a model of a target pool, by policy.
//!
//! The model stands at the policy crate's interface: engines with slots, a rate in tokens and a
//! prefix cache, load reports that lag, and ten routers that decide each on its own.

mod arrivals;
mod balancer;
mod bound;
mod chart;
mod cost;
mod engine;
mod opts;
mod pattern;
mod play;
mod summary;
mod tally;

use std::process::ExitCode;

use wisteriapass_policy::{Features, PolicyConfig};

pub use balancer::Policy;
pub use opts::LoadsOpts;
pub use pattern::Pattern;
pub use summary::Summary;

use play::Play;

/// Time before anything is measured, in which the pool fills, in seconds.
pub const WARM_UP_SECS: f64 = 60.0;
/// Time whose arrivals are measured, in seconds.
pub const MEASURE_SECS: f64 = 60.0;
/// Time for which the load goes on so that what is measured can end, in seconds.
pub const COOL_DOWN_SECS: f64 = 60.0;
/// End of the play, in seconds.
pub const END_SECS: f64 = WARM_UP_SECS + MEASURE_SECS + COOL_DOWN_SECS;

/// Plays one pattern by one policy.
pub fn simulate(pattern: Pattern, policy: Policy, seed: u64, cfg: &PolicyConfig) -> Summary {
    Play::new(pattern, policy, seed, cfg).run()
}

/// Runs the subcommand.
pub fn run(opts: &LoadsOpts) -> ExitCode {
    if opts.cost {
        cost::print();
        return ExitCode::SUCCESS;
    }
    let cfg = match config(opts) {
        Ok(cfg) => cfg,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::FAILURE;
        }
    };
    let patterns = opts.pattern.map_or(Pattern::ALL.to_vec(), |p| vec![p]);
    let policies = opts.policy.map_or(Policy::ALL.to_vec(), |p| vec![p]);
    for pattern in patterns {
        let medians: Vec<Summary> = policies
            .iter()
            .map(|&policy| median(pattern, policy, opts, &cfg))
            .collect();
        if opts.json {
            medians.iter().for_each(|s| println!("{}", s.to_json()));
        } else {
            print!("{}", chart::text(&medians));
        }
    }
    ExitCode::SUCCESS
}

/// Plays a pattern with each seed and takes the median of each figure.
fn median(pattern: Pattern, policy: Policy, opts: &LoadsOpts, cfg: &PolicyConfig) -> Summary {
    let seeds = opts.seed..opts.seed + u64::from(opts.seeds.max(1));
    let summaries: Vec<Summary> = seeds
        .map(|seed| simulate(pattern, policy, seed, cfg))
        .collect();
    Summary::median(&summaries)
}

/// Returns the policy's thresholds as the options have them, or what is wrong with those.
fn config(opts: &LoadsOpts) -> Result<PolicyConfig, String> {
    let set = opts.set.as_deref().unwrap_or("").replace(',', "\n");
    let mut cfg: PolicyConfig = toml::from_str(&set).map_err(|e| format!("--set: {e}"))?;
    for name in opts.without.iter().flat_map(|w| w.split(',')) {
        let parts = cfg.parts.without(name);
        cfg.parts = parts.ok_or_else(|| {
            format!(
                "--without: no part {name:?}; use one of {}",
                Features::NAMES.join(", ")
            )
        })?;
    }
    Ok(cfg)
}
