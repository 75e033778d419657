//! `wisteriapassd`: a daemon that runs as a router or a side process, depending on its settings.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

/// Router or side process of wisteriapass.
#[derive(Debug, Options)]
struct Opts {
    /// Print this help.
    help: bool,
    /// Print the version.
    #[options(no_short)]
    version: bool,
    /// Settings file (TOML).
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    /// Run as router of the users' platform, with the settings that it gives.
    #[options(no_short)]
    on_platform: bool,
}

/// Exit code for an invalid command line.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let opts = Opts::parse_args_default_or_exit();
    if opts.version {
        println!("wisteriapassd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if opts.on_platform {
        return wisteriapass_daemon::run_on_platform();
    }
    let Some(path) = opts.settings else {
        eprintln!("wisteriapassd: no settings; give --settings FILE or --on-platform");
        return ExitCode::from(USAGE);
    };
    wisteriapass_daemon::run(&path)
}
