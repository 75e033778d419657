//! Commands that run an experiment and print its figures.

use std::fmt;
use std::process::ExitCode;

use gumdrop::Options;
use serde::Serialize;
use wisteriapass_bench::experiment::drive::{DrivePlan, Pattern};
use wisteriapass_bench::experiment::overhead::OverheadPlan;
use wisteriapass_bench::experiment::quickstart;
use wisteriapass_bench::fleet::{Program, Result};

/// Options of `quickstart`.
#[derive(Debug, Options)]
pub struct QuickstartOptions {
    #[options(help = "print this help")]
    help: bool,
}

impl QuickstartOptions {
    /// Runs the tour; fails if something is not as promised.
    pub fn run(&self) -> ExitCode {
        let program = Program::this_tool().map_err(quickstart::QuickstartError::from);
        let done = program.and_then(|p| quickstart::run(p, &mut std::io::stdout()));
        match done {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        }
    }
}

/// Options of `overhead`.
#[derive(Debug, Options)]
pub struct OverheadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "streams open at once", default = "200")]
    streams: usize,
    #[options(help = "streams one after the other in each phase", default = "5")]
    rounds: usize,
    #[options(help = "phases each way", default = "2")]
    phases: usize,
    #[options(help = "print JSON")]
    json: bool,
}

impl OverheadOptions {
    /// Measures and prints; fails if not every stream was answered whole.
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
        print(report, self.json, is_complete)
    }
}

/// Options of `drive`.
#[derive(Debug, Options)]
pub struct DriveOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "steady, burst, hot, slow, long-short or saturation; each in turn if none",
        meta = "NAME"
    )]
    pattern: Option<Pattern>,
    #[options(help = "seed", default = "1")]
    seed: u64,
    #[options(help = "how long calls arrive", default = "10")]
    seconds: u64,
    #[options(help = "print JSON, an object a line")]
    json: bool,
}

impl DriveOptions {
    /// Plays and prints; fails if an answer was not the expected one.
    pub fn run(&self) -> ExitCode {
        let one = self.pattern.map(|p| vec![p]);
        for pattern in one.unwrap_or_else(|| Pattern::ALL.to_vec()) {
            let report = Program::this_tool().and_then(|program| {
                let plan = DrivePlan {
                    pattern,
                    seed: self.seed,
                    seconds: self.seconds,
                    program,
                };
                plan.run()
            });
            let is_right = report.as_ref().is_ok_and(|r| r.all.unexpected == 0);
            let code = print(report, self.json, is_right);
            if code != ExitCode::SUCCESS {
                return code;
            }
        }
        ExitCode::SUCCESS
    }
}

/// Prints a report, or why there is none.
fn print<R: fmt::Display + Serialize>(report: Result<R>, json: bool, is_good: bool) -> ExitCode {
    match report {
        Ok(report) if json => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        Ok(report) => println!("{report}"),
        Err(e) => eprintln!("{e}"),
    }
    match is_good {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
