//! Money in virtual time, without a network: escrow against an equal static split.
//!
//! Wallets, records and grant sizes are the real ones; time, arrivals and reachability are played.

mod fleet;
mod load;
mod opts;
mod report;
mod router;
mod scenario;
mod split;
mod store;

pub use opts::BudgetsOpts;
pub use report::{Comparison, Metrics};
pub use scenario::Scenario;

use std::process::ExitCode;

use fleet::EscrowFleet;
use load::Load;
use split::StaticSplit;

/// Plays one scenario by both ways of spending, over the same requests.
pub fn simulate(scenario: Scenario, seed: u64) -> Comparison {
    let load = Load::new(scenario, seed);
    Comparison {
        scenario,
        seed,
        escrow: EscrowFleet::new(scenario, &load, seed).run(&load),
        split: StaticSplit::new(scenario, &load).run(&load),
    }
}

/// Runs the subcommand: exit code 1 if anything was overspent.
pub fn run(opts: &BudgetsOpts) -> ExitCode {
    let mut is_sound = true;
    for scenario in Scenario::ALL {
        let outcome = simulate(scenario, opts.seed);
        is_sound &= outcome.escrow.overspend == 0;
        println!("{}", outcome.text(opts.json));
    }
    if is_sound {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
