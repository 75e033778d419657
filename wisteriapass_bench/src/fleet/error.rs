//! Errors of the harness.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use wisteriapass_coord::budget::LedgerError;
use wisteriapass_coord::store::StoreError;

/// Result of an operation on a fleet.
pub type Result<T, E = FleetError> = std::result::Result<T, E>;

/// Why a fleet does not do what it was told.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// The system refused something.
    #[display("{_0}; free some ports, threads or disk space")]
    Io(io::Error),
    /// The stand-in of the key-value service refused a call.
    Store(StoreError),
    /// A budget could not be changed.
    Ledger(LedgerError),
    /// The configuration was changed by somebody else.
    #[display("the configuration changed meanwhile; read it again and repeat the edit")]
    Conflict,
    /// The daemon's binary is not there.
    #[display("{} is missing; build it with `cargo build -p wisteriapass_daemon`", path.display())]
    #[from(skip)]
    NoProgram {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// No daemon has this name.
    #[display("no daemon is called {name}; use a name of the inventory")]
    #[from(skip)]
    NoSuchDaemon {
        /// Name as given.
        name: String,
    },
    /// The daemon does not run.
    #[display("{name} does not run; start it first")]
    #[from(skip)]
    NotRunning {
        /// Its name.
        name: String,
    },
    /// A daemon ended before it was ready.
    #[display("{name} ended before it was ready; its log ends with:\n{log}")]
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
