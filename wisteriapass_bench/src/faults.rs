//! Faults played against real processes under load, and the history checked afterwards.

mod check;
mod facts;
mod leave;
mod opts;
mod orders;
mod plan;
mod play;
mod report;
mod revisions;
mod stage;
mod workload;

pub use check::{Property, Violation, check};
pub use facts::{
    Attempt, CallRecord, Execution, LeavingPeriod, Observations, Rollback, TopUpRecord,
};
pub use opts::FaultsOpts;
pub use plan::{Fault, PlannedFault, plan_faults};
pub use play::{ExperimentError, run_experiment};
pub use report::Report;

use std::process::ExitCode;

use crate::fleet::Program;

/// Runs the subcommand: exit code 1 if a property is broken.
pub fn run(opts: &FaultsOpts) -> ExitCode {
    let program = match Program::this_tool() {
        Ok(program) => program,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    let report = match run_experiment(opts, program) {
        Ok(report) => report,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    for violation in &report.violations {
        eprintln!("{violation}");
    }
    println!("{}", report.text(opts.json));
    if report.violations.is_empty() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
