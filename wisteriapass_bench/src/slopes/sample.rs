//! Measurements of one fleet.

use serde::Serialize;

use crate::slopes::size::{Axis, Size};

/// Measurements of the processes of a role, as means per process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RoleSample {
    /// CPU usage, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory, in MB (1,048,576 bytes).
    pub resident_mb: f64,
    /// Control traffic sent and received, with headers, in bytes per second.
    pub control_bytes_s: f64,
}

/// Measurements of one fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// Size of the measured fleet.
    pub size: Size,
    /// Measurements of the routers.
    pub router: RoleSample,
    /// Measurements of the side processes.
    pub side: RoleSample,
    /// Reads from the key-value service per second, with lease calls and with each watch as one.
    pub store_reads_s: f64,
    /// Writes to the key-value service per second.
    pub store_writes_s: f64,
    /// Complete answers per second.
    pub answers_s: f64,
    /// Requests without a complete answer.
    pub failures: usize,
    /// Median time until an edit is in force at every process, in milliseconds.
    pub edit_p50_ms: Option<u64>,
    /// Longest time until an edit is in force at every process, in milliseconds.
    pub edit_max_ms: Option<u64>,
    /// Size of the configuration document, in bytes.
    pub document_bytes: usize,
}

impl Sample {
    /// Formats the sample as one line.
    pub fn to_line(&self, axis: Axis, json: bool) -> String {
        if json {
            let text = serde_json::to_string(self).unwrap_or_default();
            return format!("{{\"axis\":\"{axis}\",\"sample\":{text}}}");
        }
        format!("{axis} {}: {self:?}", axis.value(&self.size))
    }
}
