//! Figures of one measured fleet.

use serde::Serialize;

use crate::slopes::size::{Axis, Size};

/// Figures of one process of a role, averaged over the role.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RoleSample {
    /// Processor time, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory, in MB (1,048,576 bytes).
    pub resident_mb: f64,
    /// Control traffic sent and received with headers, in bytes a second.
    pub control_bytes_s: f64,
}

/// Figures of one measured fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// What was measured.
    pub size: Size,
    /// Routers.
    pub router: RoleSample,
    /// Side processes.
    pub side: RoleSample,
    /// Reads of the key-value service a second, a waiting watch as one.
    pub store_reads_s: f64,
    /// Writes of the key-value service a second.
    pub store_writes_s: f64,
    /// Answers a second.
    pub answers_s: f64,
    /// Requests that were refused or lost.
    pub failures: usize,
    /// Median time from an edit until all processes have it in force, in milliseconds.
    pub edit_p50_ms: Option<u64>,
    /// Longest such time, in milliseconds.
    pub edit_max_ms: Option<u64>,
    /// Size of the configuration document, in bytes.
    pub document_bytes: usize,
}

impl Sample {
    /// Returns the sample as one line.
    pub fn line(&self, axis: Axis, json: bool) -> String {
        if json {
            let text = serde_json::to_string(self).unwrap_or_default();
            return format!("{{\"axis\":\"{axis}\",\"sample\":{text}}}");
        }
        format!("{axis} {}: {self:?}", axis.of(&self.size))
    }
}
