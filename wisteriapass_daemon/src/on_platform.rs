//! Startup of a router on the users' platform.

use std::process::ExitCode;
use std::rc::Rc;

use derive_more::{Display, Error, From};
use wisteriapass_gateway::RunError;
use wisteriapass_platform::{PlatformSettings, SettingsError, UsersPlatform};

use crate::logging::{self, LogError};

/// Exit code when the settings are invalid or an address is in use.
const NOT_STARTED: u8 = 2;

/// Log level: one line for each failure and each change of the router's view of the platform.
const LOG_LEVEL: &str = "info";

/// Reason why a router did not start.
#[derive(Debug, Display, Error, From)]
enum StartError {
    Settings(SettingsError),
    Log(LogError),
    Run(RunError),
}

/// Runs a router on the users' platform until it is asked to stop.
pub fn run_on_platform() -> ExitCode {
    let started = start();
    log::logger().flush();
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("wisteriapassd: {e}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

fn start() -> Result<(), StartError> {
    let settings = PlatformSettings::from_environment()?;
    logging::start(&settings.gateway.name, LOG_LEVEL)?;
    let platform = Rc::new(UsersPlatform::new(settings.store));
    wisteriapass_gateway::run(settings.gateway, platform)?;
    Ok(())
}
