//! Commands of the tool.

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

/// Command line of the tool.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a router or side process, as this tool's own child")]
    Daemon(DaemonOptions),
    #[options(help = "run a stand-in for the platform")]
    Platform(PlatformOptions),
    #[options(help = "run a stand-in for a model engine")]
    Engine(EngineOptions),
    #[options(help = "run a stand-in for a plain service")]
    Service(ServiceOptions),
    #[options(help = "show on this machine what the product does")]
    Quickstart(QuickstartOptions),
    #[options(help = "measure what router and side process add to a stream")]
    Overhead(OverheadOptions),
    #[options(help = "play load patterns over the real path")]
    Drive(DriveOptions),
    #[options(help = "play load patterns against a model of a target pool")]
    Loads(LoadsOpts),
    #[options(help = "measure false refusals and writes of budgets in virtual time")]
    Budgets(BudgetsOpts),
    #[options(help = "measure what routers and side processes cost against the size of the fleet")]
    Slopes(SlopesOpts),
    #[options(help = "play faults against real processes under load and check the history")]
    Faults(FaultsOpts),
}

impl Cli {
    /// Runs the command and returns the process's exit code.
    pub fn run(self) -> ExitCode {
        let done = match self.command {
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
                eprintln!("name a command\n\n{}", Cli::usage());
                eprintln!("\n{}", Command::usage());
                return ExitCode::from(2);
            }
        };
        match done {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        }
    }
}
