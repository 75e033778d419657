//! Messages of the exchange of speeds.

use serde::{Deserialize, Serialize};
use wisteriapass_coord::prepaid::HolderId;
use wisteriapass_policy::target_speed::SpeedReport;

use crate::target::{Target, TargetId};

/// Maximum size of the entries of a message, in bytes: a small part of what a link of 10 Mbit/s
/// carries between two exchanges.
const MAX_ENTRY_BYTES: usize = 1_900;

/// What some routers observed of a target that is slower or faster than others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedEntry {
    /// The target.
    pub target: TargetId,
    /// Its start time in Unix milliseconds, if stated.
    pub started_ms: Option<u64>,
    /// Lasting factor and its weight.
    pub lasting: (f32, f32),
    /// Recent factor and its weight.
    pub recent: (f32, f32),
    /// Age of the observations when the message was made, in milliseconds.
    pub age_ms: u32,
}

impl SpeedEntry {
    /// Creates the entry of a target.
    pub fn new(target: &Target, report: &SpeedReport) -> Self {
        Self {
            target: target.entry.id.clone(),
            started_ms: target.entry.started_ms,
            lasting: (report.lasting as f32, report.lasting_weight as f32),
            recent: (report.recent as f32, report.recent_weight as f32),
            age_ms: report.age_ms.try_into().unwrap_or(u32::MAX),
        }
    }

    /// Returns whether it concerns this incarnation of a target.
    pub fn is_of(&self, target: &Target) -> bool {
        self.target == target.entry.id && self.started_ms == target.entry.started_ms
    }

    /// Returns the report as of this much later.
    pub fn report_after(&self, ms: u64) -> SpeedReport {
        SpeedReport {
            lasting: self.lasting.0.into(),
            lasting_weight: self.lasting.1.into(),
            recent: self.recent.0.into(),
            recent_weight: self.recent.1.into(),
            age_ms: u64::from(self.age_ms).saturating_add(ms),
        }
    }
}

/// A call with what a router observed: a follower itself, a relay with its followers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SpeedCall {
    /// VM of the router.
    pub router: HolderId,
    /// Number of the router's process, drawn at random.
    pub process: u64,
    /// Time of sending by the clock of the process, in milliseconds.
    pub sent_ms: u64,
    /// Whether the router is a relay.
    pub is_relay: bool,
    /// Targets that differ from others, the most significant ones first.
    pub entries: Vec<SpeedEntry>,
}

/// Answer to a call: to a follower everything that others observed, to a relay what the answering one
/// observed with its followers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SpeedAnswer {
    /// Targets that differ from others, the most significant ones first.
    pub entries: Vec<SpeedEntry>,
}

/// Returns the first entries that fit into a message.
pub(super) fn limit_size(entries: impl Iterator<Item = SpeedEntry>) -> Vec<SpeedEntry> {
    let mut left = MAX_ENTRY_BYTES;
    let mut limited = Vec::new();
    for entry in entries {
        let size = postcard::to_stdvec(&entry).map_or(usize::MAX, |bytes| bytes.len());
        if size > left {
            break;
        }
        left -= size;
        limited.push(entry);
    }
    limited
}
