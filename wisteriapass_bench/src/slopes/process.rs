//! Processor time and memory of this tool's own child processes.

use std::fs;

/// Ticks of processor time a second, as Linux shows them to processes.
const TICKS_A_SECOND: f64 = 100.0;

/// Field of user time in `/proc/<pid>/stat`, counted from behind the program's name.
const USER_TIME: usize = 11;

/// Figures of one process at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time so far, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident: f64,
}

/// Reads the figures of a child process.
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok());
    let cpu_s = (ticks(USER_TIME)? + ticks(USER_TIME + 1)?) / TICKS_A_SECOND;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    let resident = kib * 1_024.0;
    Some(Usage { cpu_s, resident })
}
