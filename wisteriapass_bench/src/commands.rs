//! Command line of the tool.

mod daemon;
mod experiments;
mod standins;

use std::process::ExitCode;

use gumdrop::Options;
use wisteriapass_bench::budgets::{self, BudgetsOpts};
use wisteriapass_bench::faults::{self, FaultsOpts};
use wisteriapass_bench::loads::{self, LoadsOpts};
use wisteriapass_bench::slopes::{self, SlopesOpts};

use daemon::DaemonOptions;
use experiments::{DriveOptions, OverheadOptions, QuickstartOptions};
use standins::{EngineOptions, PlatformOptions, ServiceOptions};

/// Command line options.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// Subcommands.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a router or side process; used by the test harness")]
    Daemon(DaemonOptions),
    #[options(help = "run a platform stand-in")]
    Platform(PlatformOptions),
    #[options(help = "run a model engine stand-in")]
    Engine(EngineOptions),
    #[options(help = "run a plain service stand-in")]
    Service(ServiceOptions),
    #[options(help = "demonstrate the main features on this machine")]
    Quickstart(QuickstartOptions),
    #[options(help = "measure the overhead that router and side process add to a stream")]
    Overhead(OverheadOptions),
    #[options(help = "run load patterns against a fleet of real daemons")]
    Drive(DriveOptions),
    #[options(help = "simulate load patterns against a model of a target pool")]
    Loads(LoadsOpts),
    #[options(
        help = "simulate budgets in virtual time and measure false refusals and store writes"
    )]
    Budgets(BudgetsOpts),
    #[options(help = "measure how the cost of routers and side processes scales with the fleet")]
    Slopes(SlopesOpts),
    #[options(help = "inject faults into real processes under load and check the history")]
    Faults(FaultsOpts),
}

impl Cli {
    /// Runs the subcommand and returns the exit code of the process.
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            Some(Command::Daemon(options)) => return options.run(),
            Some(Command::Platform(options)) => options.run(),
            Some(Command::Engine(options)) => options.run(),
            Some(Command::Service(options)) => options.run(),
            Some(Command::Quickstart(options)) => return options.run(),
            Some(Command::Overhead(options)) => return options.run(),
            Some(Command::Drive(options)) => return options.run(),
            Some(Command::Loads(opts)) => return loads::run(&opts),
            Some(Command::Budgets(opts)) => return budgets::run(&opts),
            Some(Command::Slopes(opts)) => return slopes::run(&opts),
            Some(Command::Faults(opts)) => return faults::run(&opts),
            None => {
                eprintln!("no command given\n\n{}", Cli::usage());
                eprintln!("\n{}", Command::usage());
                return ExitCode::from(2);
            }
        };
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        }
    }
}
