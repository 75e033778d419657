//! Simulation of budgets in virtual time, without a network: escrow compared with an equal static
//! split.
//!
//! Wallets, ledger records and grant sizes are those of the product; time, arrivals and
//! reachability are simulated.

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

/// Simulates one scenario with escrow and with a static split, over the same requests.
pub fn simulate(scenario: Scenario, seed: u64) -> Comparison {
    let load = Load::new(scenario, seed);
    Comparison {
        scenario,
        seed,
        escrow: EscrowFleet::new(scenario, &load, seed).run(&load),
        split: StaticSplit::new(scenario, &load).run(&load),
    }
}

/// Runs the subcommand; the exit code is 1 if escrow overspent in any scenario.
pub fn run(opts: &BudgetsOpts) -> ExitCode {
    let mut no_overspend = true;
    for scenario in Scenario::ALL {
        let comparison = simulate(scenario, opts.seed);
        no_overspend &= comparison.escrow.overspend == 0;
        println!("{}", comparison.text(opts.json));
    }
    if no_overspend {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
