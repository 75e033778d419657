//! Command line of the bench tool.

use std::process::ExitCode;

use gumdrop::Options;
use wisteriapass_bench::loads::{self, LoadsOpts};

/// Options of the bench tool.
#[derive(Debug, Options)]
struct Opts {
    /// Prints this help.
    help: bool,
    /// What to do.
    #[options(command)]
    command: Option<Command>,
}

/// What the bench tool can do.
#[derive(Debug, Options)]
enum Command {
    /// Plays load patterns against a model of a target pool.
    #[options(help = "plays load patterns against a model of a target pool")]
    Loads(LoadsOpts),
}

fn main() -> ExitCode {
    let opts = Opts::parse_args_default_or_exit();
    match opts.command {
        Some(Command::Loads(opts)) => loads::run(&opts),
        None => {
            eprintln!("name a command; `--help` lists them");
            ExitCode::FAILURE
        }
    }
}
