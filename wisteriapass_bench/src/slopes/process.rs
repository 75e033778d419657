//! CPU time and memory of the child processes of this tool.

use std::fs;

/// Clock ticks per second in `/proc`, as fixed by the Linux user-space interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Index of `utime` among the fields after the program name in `/proc/<pid>/stat`; `stime`
/// follows it.
const UTIME_FIELD: usize = 11;

/// Resource usage of one process at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time so far, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
}

/// Reads the resource usage of a child process, or returns `None` if `/proc` does not show it.
pub fn read_usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|t| t.parse::<f64>().ok());
    let cpu_s = (ticks(UTIME_FIELD)? + ticks(UTIME_FIELD + 1)?) / TICKS_PER_SECOND;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    let resident_bytes = kib * 1_024.0;
    Some(Usage {
        cpu_s,
        resident_bytes,
    })
}
