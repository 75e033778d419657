//! Fault injection into real processes under load, and checks of the recorded history.

mod check;
mod experiment;
mod injector;
mod leaving;
mod observations;
mod opts;
mod orders;
mod plan;
mod report;
mod revision_watcher;
mod workload;

pub use check::{Property, Violation, check};
pub use experiment::{ExperimentError, run_experiment};
pub use observations::{
    Attempt, CallRecord, Execution, LeavingPeriod, Observations, Rollback, TopUpRecord,
};
pub use opts::FaultsOpts;
pub use plan::{Fault, PlannedFault, plan_faults};
pub use report::Report;

use std::process::ExitCode;

use crate::fleet::Program;

/// Runs the subcommand; exits with code 1 if a property is violated.
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
