//! Stand-ins, load and experiments for wisteriapass.

mod commands;

use std::process::ExitCode;

use gumdrop::Options;

fn main() -> ExitCode {
    commands::Cli::parse_args_default_or_exit().run()
}
