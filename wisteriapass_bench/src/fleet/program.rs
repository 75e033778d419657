//! Which program the daemons run.

use std::path::{Path, PathBuf};
use std::process::Command;

use super::{FleetError, Result};

/// Name of the daemon's own binary.
const DAEMON: &str = "wisteriapassd";

/// Hidden command of the tool that runs a daemon.
const DAEMON_COMMAND: &str = "daemon";

/// Program that runs as router or side process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Program {
    /// This tool, at this path, with its hidden command `daemon`.
    Tool(PathBuf),
    /// The daemon's own binary, at this path.
    Daemon(PathBuf),
}

impl Program {
    /// Returns the program of this process, which has to be the tool.
    ///
    /// # Errors
    ///
    /// [`FleetError::Io`] if the system does not say where it is.
    pub fn this_tool() -> Result<Self> {
        Ok(Self::Tool(std::env::current_exe()?))
    }

    /// Returns the daemon's binary beside the one of this process.
    ///
    /// # Errors
    ///
    /// [`FleetError::NoProgram`] if it was not built.
    pub fn daemon_beside() -> Result<Self> {
        let mut dir = std::env::current_exe()?;
        dir.pop();
        // Tests run from a directory below that of the binaries.
        if dir.ends_with("deps") {
            dir.pop();
        }
        let path = dir.join(DAEMON);
        if path.exists() {
            return Ok(Self::Daemon(path));
        }
        Err(FleetError::NoProgram { path })
    }

    /// Returns the command that starts a daemon with a settings file.
    pub(super) fn command(&self, settings: &Path) -> Command {
        let mut command = match self {
            Self::Tool(path) => {
                let mut command = Command::new(path);
                command.arg(DAEMON_COMMAND);
                command
            }
            Self::Daemon(path) => Command::new(path),
        };
        command.arg("--settings").arg(settings);
        command
    }
}
