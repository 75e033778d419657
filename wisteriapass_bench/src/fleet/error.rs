//! Errors of the test harness.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use wisteriapass_coord::budget::LedgerError;
use wisteriapass_coord::store::StoreError;

/// Result of an operation on a fleet.
pub type Result<T, E = FleetError> = std::result::Result<T, E>;

/// Why an operation on a fleet failed.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// The operating system returned an error.
    #[display("{_0}; free some ports, threads or disk space")]
    Io(io::Error),
    /// A call to the key-value service failed.
    Store(StoreError),
    /// A budget could not be read or changed.
    Ledger(LedgerError),
    /// Another writer changed the configuration.
    #[display("the configuration changed meanwhile; read it again and repeat the edit")]
    Conflict,
    /// The daemon's binary does not exist.
    #[display("{} is missing; build it with `cargo build -p wisteriapass_daemon`", path.display())]
    #[from(skip)]
    NoProgram {
        /// Expected path.
        path: PathBuf,
    },
    /// No daemon has this name.
    #[display("no daemon is named {name}; use a name from the inventory")]
    #[from(skip)]
    NoSuchDaemon {
        /// Requested name.
        name: String,
    },
    /// The daemon is not running.
    #[display("{name} is not running; start it first")]
    #[from(skip)]
    NotRunning {
        /// Its name.
        name: String,
    },
    /// A daemon exited before it was ready.
    #[display("{name} exited before it was ready; its log ends with:\n{log}")]
    #[from(skip)]
    Ended {
        /// Its name.
        name: String,
        /// Last lines of its log.
        log: String,
    },
    /// A daemon was not ready in time.
    #[display("{name} was not ready in time; its log ends with:\n{log}")]
    #[from(skip)]
    NotReady {
        /// Its name.
        name: String,
        /// Last lines of its log.
        log: String,
    },
}
