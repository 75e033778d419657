//! Subcommand that runs a daemon in this process, for the test harness.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

/// Options of the `daemon` subcommand.
#[derive(Debug, Options)]
pub struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file (TOML)", required)]
    settings: PathBuf,
}

impl DaemonOptions {
    /// Runs the daemon until it receives a stop signal.
    pub fn run(&self) -> ExitCode {
        wisteriapass_daemon::run(&self.settings)
    }
}
