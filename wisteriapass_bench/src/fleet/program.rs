//! Program that the daemons run.

use std::path::{Path, PathBuf};
use std::process::Command;

use super::{FleetError, Result};

/// File name of the daemon's binary.
const DAEMON_BINARY: &str = "wisteriapassd";

/// Hidden command of the tool that runs a daemon.
const DAEMON_COMMAND: &str = "daemon";

/// Program that runs as router or side process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Program {
    /// The tool at this path, with its hidden command `daemon`.
    Tool(PathBuf),
    /// The daemon's binary at this path.
    Daemon(PathBuf),
}

impl Program {
    /// Returns the executable of this process, which must be the tool.
    ///
    /// # Errors
    ///
    /// [`FleetError::Io`] if the path of the executable is unknown.
    pub fn this_tool() -> Result<Self> {
        Ok(Self::Tool(std::env::current_exe()?))
    }

    /// Returns the daemon's binary in the directory of this process's executable.
    ///
    /// # Errors
    ///
    /// [`FleetError::NoProgram`] if it does not exist.
    pub fn daemon_beside() -> Result<Self> {
        let mut dir = std::env::current_exe()?;
        dir.pop();
        // Test executables are in a subdirectory of the one with the binaries.
        if dir.ends_with("deps") {
            dir.pop();
        }
        let path = dir.join(DAEMON_BINARY);
        if path.exists() {
            return Ok(Self::Daemon(path));
        }
        Err(FleetError::NoProgram { path })
    }

    /// Creates the command that starts a daemon with a settings file.
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
