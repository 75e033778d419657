//! What a witness remembers of routers; kept in memory only.

use std::collections::{BTreeMap, HashMap};

use crate::prepaid::{HolderId, Inquiry, InquiryAnswer, WitnessReceipt, WitnessReport};

/// Time after which a silent router process is forgotten, in milliseconds. An answer that old is of
/// no use to a successor.
const FORGET_MS: u64 = 600_000;

/// Memory of one witness process.
///
/// Losing it costs tokens that can no longer be spent, but never causes overspending: a successor
/// trusts only the exact process that its predecessor named.
#[derive(Debug)]
pub struct WitnessMemory {
    process: u64,
    reported: HashMap<(HolderId, u64), Reported>,
}

/// What was reported by one router process.
#[derive(Debug, Default)]
struct Reported {
    spend_limits: BTreeMap<String, u64>,
    /// When the process was certainly alive and bound, by this witness's boot clock.
    alive_ms: Option<u64>,
    last_report_ms: u64,
}

impl WitnessMemory {
    /// Creates an empty memory; `process` is drawn at random when the process starts.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            reported: HashMap::new(),
        }
    }

    /// Records a report that arrived at `now_ms` of the boot clock.
    ///
    /// A report may have been in transit, or its reader suspended, for any length of time. It
    /// proves only that its sender was alive when it had the last receipt, so that time is noted.
    pub fn record_report(&mut self, now_ms: u64, report: WitnessReport) -> WitnessReceipt {
        self.reported
            .retain(|_, h| now_ms.saturating_sub(h.last_report_ms) < FORGET_MS);
        let reported = self.reported.entry((report.holder, report.process));
        let reported = reported.or_default();
        reported.last_report_ms = now_ms;
        for (account, limit) in report.spend_limits {
            let known = reported.spend_limits.entry(account).or_default();
            *known = limit.max(*known);
        }
        let last = report
            .last_receipt
            .filter(|last| last.witness == self.process);
        reported.alive_ms = reported.alive_ms.max(last.map(|last| last.sent_ms));
        WitnessReceipt {
            witness: self.process,
            sent_ms: now_ms,
        }
    }

    /// Returns what is known of a router process, if the inquiry is meant for this witness process.
    pub fn answer_inquiry(&self, now_ms: u64, inquiry: &Inquiry) -> Option<InquiryAnswer> {
        if inquiry.witness != self.process {
            return None;
        }
        let reported = self
            .reported
            .get(&(inquiry.holder.clone(), inquiry.process))?;
        Some(InquiryAnswer {
            spend_limits: reported.spend_limits.clone(),
            silent_ms: now_ms.saturating_sub(reported.alive_ms?),
        })
    }
}
