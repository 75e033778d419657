//! Simulates load patterns on a target pool in virtual time and compares scheduling policies.
//!
//! The simulation calls the policy crate through its public interface. It models engines with
//! slots, a token rate and a prefix cache, delayed load reports, and ten routers that decide
//! independently.

mod arrivals;
mod balancer;
mod bound;
mod chart;
mod cost;
mod engine;
mod opts;
mod pattern;
mod simulation;
mod summary;
mod tally;

use std::process::ExitCode;

use wisteriapass_policy::{Features, PolicyConfig};

pub use balancer::Policy;
pub use opts::LoadsOpts;
pub use pattern::Pattern;
pub use summary::Summary;

use simulation::Simulation;

/// Time before the measurement in which the pool fills up, in seconds.
pub const WARM_UP_SECS: f64 = 60.0;
/// Time in which arrivals are measured, in seconds.
pub const MEASURE_SECS: f64 = 60.0;
/// Time for which the load continues so that measured requests can finish, in seconds.
pub const COOL_DOWN_SECS: f64 = 60.0;
/// End of the simulation, in seconds.
pub const END_SECS: f64 = WARM_UP_SECS + MEASURE_SECS + COOL_DOWN_SECS;

/// Simulates one pattern under one policy.
pub fn simulate(pattern: Pattern, policy: Policy, seed: u64, cfg: &PolicyConfig) -> Summary {
    Simulation::new(pattern, policy, seed, cfg).run()
}

/// Runs the `loads` subcommand.
pub fn run(opts: &LoadsOpts) -> ExitCode {
    if opts.cost {
        cost::print();
        return ExitCode::SUCCESS;
    }
    let cfg = match policy_config(opts) {
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
            .map(|&policy| median_summary(pattern, policy, opts, &cfg))
            .collect();
        if opts.json {
            medians.iter().for_each(|s| println!("{}", s.to_json()));
        } else {
            print!("{}", chart::render(&medians));
        }
    }
    ExitCode::SUCCESS
}

/// Simulates a pattern with each seed and returns the median of each figure.
fn median_summary(
    pattern: Pattern,
    policy: Policy,
    opts: &LoadsOpts,
    cfg: &PolicyConfig,
) -> Summary {
    let seeds = opts.seed..opts.seed + u64::from(opts.seeds.max(1));
    let summaries: Vec<Summary> = seeds
        .map(|seed| simulate(pattern, policy, seed, cfg))
        .collect();
    Summary::median(&summaries)
}

/// Builds the policy configuration from `--set` and `--without`, or returns an error message.
fn policy_config(opts: &LoadsOpts) -> Result<PolicyConfig, String> {
    let overrides = opts.set.as_deref().unwrap_or("").replace(',', "\n");
    let mut cfg: PolicyConfig = toml::from_str(&overrides).map_err(|e| format!("--set: {e}"))?;
    for name in opts.without.iter().flat_map(|w| w.split(',')) {
        let parts = cfg.parts.without(name);
        cfg.parts = parts.ok_or_else(|| {
            format!(
                "--without: unknown feature {name:?}; use one of {}",
                Features::NAMES.join(", ")
            )
        })?;
    }
    Ok(cfg)
}
