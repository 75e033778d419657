//! Structured log lines: time, level, process and part, then a short sentence with `key=value`
//! pairs.

mod nonblocking_log;

use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error};

use nonblocking_log::NonBlockingLog;

/// Result of starting the logger.
pub type Result<T, E = LogError> = std::result::Result<T, E>;

/// Reason why logging could not be started.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The level is none of the five log levels.
    #[display("log: unknown level {level:?}; use error, warn, info, debug or trace")]
    #[error(ignore)]
    Level {
        /// The given level.
        level: String,
    },
    /// A logger was started before.
    #[display("log: already started; start the logger once per process")]
    Started,
}

/// Starts logging to standard error from `level` and above, each line marked with `name`.
///
/// Logging never blocks: when the reader of standard error is too slow, lines are dropped, and a
/// line reports their number.
///
/// # Errors
///
/// [`LogError`] if the level is unknown or a logger was started before.
pub fn start(name: &str, level: &str) -> Result<()> {
    let filter: log::LevelFilter = level.parse().map_err(|_| LogError::Level {
        level: level.into(),
    })?;
    let name = name.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let since_epoch = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let (secs, millis) = (since_epoch.as_secs(), since_epoch.subsec_millis());
            let (level, part) = (record.level(), record.target());
            out.finish(format_args!(
                "time={secs}.{millis:03} level={level} process={name} part={part} {message}"
            ));
        })
        .level(log::LevelFilter::Warn)
        .level_for("router", filter)
        .level_for("side", filter)
        .level_for("money", filter)
        .level_for("fleet", filter)
        .level_for("relay", filter)
        .level_for("load", filter)
        .level_for("start", filter)
        .level_for("exchange", filter)
        .level_for("quarantine", filter)
        .level_for("targets", filter)
        .level_for("config", filter)
        .level_for("store", filter)
        .level_for("listen", filter)
        .level_for("dispatch", filter)
        .level_for("headers", filter)
        .level_for("rotation", filter)
        .chain(Box::new(NonBlockingLog::new()) as Box<dyn log::Log>)
        .apply()
        .map_err(|_| LogError::Started)
}
