//! Subcommands that run an experiment and print its report.

use std::fmt;
use std::process::ExitCode;

use gumdrop::Options;
use serde::Serialize;
use wisteriapass_bench::experiment::drive::{DrivePlan, Pattern};
use wisteriapass_bench::experiment::overhead::OverheadPlan;
use wisteriapass_bench::experiment::quickstart;
use wisteriapass_bench::fleet::{Program, Result};

/// Options of the `quickstart` subcommand.
#[derive(Debug, Options)]
pub struct QuickstartOptions {
    #[options(help = "print this help")]
    help: bool,
}

impl QuickstartOptions {
    /// Runs the quickstart; fails if a step does not give the expected result.
    pub fn run(&self) -> ExitCode {
        let program = Program::this_tool().map_err(quickstart::QuickstartError::from);
        let result = program.and_then(|p| quickstart::run(p, &mut std::io::stdout()));
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        }
    }
}

/// Options of the `overhead` subcommand.
#[derive(Debug, Options)]
pub struct OverheadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "concurrent streams", default = "200")]
    streams: usize,
    #[options(help = "consecutive requests per stream in each phase", default = "5")]
    rounds: usize,
    #[options(help = "phases with and phases without the daemons", default = "2")]
    phases: usize,
    #[options(help = "print JSON")]
    json: bool,
}

impl OverheadOptions {
    /// Runs the measurement and prints the report; fails if any stream was not answered completely.
    pub fn run(&self) -> ExitCode {
        let report = Program::this_tool().and_then(|program| {
            let plan = OverheadPlan {
                streams: self.streams,
                rounds: self.rounds,
                phases: self.phases,
                program,
            };
            plan.run()
        });
        let is_complete = report.as_ref().is_ok_and(|r| r.is_complete());
        print_report(report, self.json, is_complete)
    }
}

/// Options of the `drive` subcommand.
#[derive(Debug, Options)]
pub struct DriveOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "steady, burst, hot, slow, long-short or saturation; all in turn by default",
        meta = "NAME"
    )]
    pattern: Option<Pattern>,
    #[options(help = "random seed", default = "1")]
    seed: u64,
    #[options(help = "duration of the load, in seconds", default = "10")]
    seconds: u64,
    #[options(help = "print JSON, one object per line")]
    json: bool,
}

impl DriveOptions {
    /// Runs the load patterns and prints their reports; fails if any answer was unexpected.
    pub fn run(&self) -> ExitCode {
        let selected = self.pattern.map(|p| vec![p]);
        for pattern in selected.unwrap_or_else(|| Pattern::ALL.to_vec()) {
            let report = Program::this_tool().and_then(|program| {
                let plan = DrivePlan {
                    pattern,
                    seed: self.seed,
                    seconds: self.seconds,
                    program,
                };
                plan.run()
            });
            let all_expected = report.as_ref().is_ok_and(|r| r.all.unexpected == 0);
            let code = print_report(report, self.json, all_expected);
            if code != ExitCode::SUCCESS {
                return code;
            }
        }
        ExitCode::SUCCESS
    }
}

/// Prints a report or the error, and returns the exit code.
fn print_report<R: fmt::Display + Serialize>(
    report: Result<R>,
    json: bool,
    is_success: bool,
) -> ExitCode {
    match report {
        Ok(report) if json => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        Ok(report) => println!("{report}"),
        Err(e) => eprintln!("{e}"),
    }
    match is_success {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
