//! Command line tool for the stand-ins, load generators and experiments of wisteriapass.

mod commands;

use std::process::ExitCode;

use gumdrop::Options;

fn main() -> ExitCode {
    commands::Cli::parse_args_default_or_exit().run()
}
