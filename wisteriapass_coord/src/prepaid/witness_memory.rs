//! What a witness remembers of routers, in memory only.

use std::collections::{BTreeMap, HashMap};

use crate::prepaid::{HolderId, Inquiry, InquiryAnswer, Receipt, WitnessReport};

/// Time after which a silent router process is forgotten, in milliseconds: a successor that asks
/// so late gets nothing from a testimony that old.
const FORGET_MS: u64 = 600_000;

/// Memory of one witness process.
///
/// It may be lost at any time, at the price of tokens that nobody can spend, never of overspending:
/// a successor believes only the very process that its predecessor named.
#[derive(Debug)]
pub struct WitnessMemory {
    process: u64,
    heard: HashMap<(HolderId, u64), Heard>,
}

/// What was heard of one router process.
#[derive(Debug, Default)]
struct Heard {
    levels: BTreeMap<String, u64>,
    /// When it was certainly alive and bound, by this witness's boot clock.
    alive_ms: Option<u64>,
    heard_ms: u64,
}

impl WitnessMemory {
    /// Creates an empty one; `process` is drawn at the start of the process.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            heard: HashMap::new(),
        }
    }

    /// Remembers a report that came at `now_ms` of the boot clock.
    ///
    /// A report may have been on its way, or its reader suspended, for any time. Its sender lived
    /// when it had the last receipt, and that much is noted.
    pub fn record_report(&mut self, now_ms: u64, report: WitnessReport) -> Receipt {
        self.heard
            .retain(|_, h| now_ms.saturating_sub(h.heard_ms) < FORGET_MS);
        let heard = self.heard.entry((report.holder, report.process));
        let heard = heard.or_default();
        heard.heard_ms = now_ms;
        for (account, level) in report.spend_limits {
            let known = heard.levels.entry(account).or_default();
            *known = level.max(*known);
        }
        let last = report
            .last_receipt
            .filter(|last| last.witness == self.process);
        heard.alive_ms = heard.alive_ms.max(last.map(|last| last.sent_ms));
        Receipt {
            witness: self.process,
            sent_ms: now_ms,
        }
    }

    /// Returns what is known of a router process, if this witness is the one that is meant.
    pub fn answer_inquiry(&self, now_ms: u64, inquiry: &Inquiry) -> Option<InquiryAnswer> {
        if inquiry.witness != self.process {
            return None;
        }
        let heard = self.heard.get(&(inquiry.holder.clone(), inquiry.process))?;
        Some(InquiryAnswer {
            spend_limits: heard.levels.clone(),
            silent_ms: now_ms.saturating_sub(heard.alive_ms?),
        })
    }
}
