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
pub use report::{Figures, Outcome};
pub use scenario::Scenario;

use std::process::ExitCode;

use fleet::Fleet;
use load::Load;
use split::Split;

/// Plays one scenario by both ways of spending, over the same requests.
pub fn play(scenario: Scenario, seed: u64) -> Outcome {
    let load = Load::new(scenario, seed);
    Outcome {
        scenario,
        seed,
        escrow: Fleet::new(scenario, &load, seed).run(&load),
        split: Split::new(scenario, &load).run(&load),
    }
}

/// Runs the subcommand: exit code 1 if anything was overspent.
pub fn run(opts: &BudgetsOpts) -> ExitCode {
    let mut is_sound = true;
    for scenario in Scenario::ALL {
        let outcome = play(scenario, opts.seed);
        is_sound &= outcome.escrow.overspend == 0;
        println!("{}", outcome.text(opts.json));
    }
    if is_sound {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
