//! Reports to witnesses, and inquiries to the witnesses of a dead predecessor.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{Instant, sleep, timeout_at};
use twox_hash::XxHash64;
use wisteriapass_coord::prepaid::{
    Inquiry, InquiryAnswer, ShareRecord, WITNESS_COUNT, WitnessId, WitnessReceipt, WitnessReport,
};

use super::TokenLedger;
use super::account_group::AccountGroup;
use crate::rpc::deadline_in;

/// Path of a relay's report to a witness.
pub const REPORT_PATH: &str = "/witness/report";

/// Path of a successor's inquiry.
pub const INQUIRY_PATH: &str = "/witness/inquiry";

/// Interval between two reports, in milliseconds: the maximum age of what a witness knows about a
/// live relay.
const REPORT_INTERVAL_MS: u64 = 200;

/// Shortest interval between two reports, in milliseconds: requests that wait for a receipt share a
/// report.
const MIN_REPORT_INTERVAL_MS: u64 = 15;

/// Timeout of a report, in milliseconds: many round trips within a region.
const REPORT_TIMEOUT_MS: u64 = 180;

/// Timeout of an inquiry, in milliseconds. Until it is answered, a successor can serve little.
const INQUIRY_TIMEOUT_MS: u64 = 200;

/// Number of times that the witnesses of a predecessor are asked.
const MAX_INQUIRIES: usize = 2;

/// Time for which an address at which no witness answered is skipped, in milliseconds.
const SKIP_MS: u64 = 5_000;

impl TokenLedger {
    /// Reports to this relay's witnesses; never returns.
    pub async fn run_witness_reports(self: Rc<Self>, index: u32) {
        let incarnation = self.incarnation();
        let group = incarnation.record_group(index);
        loop {
            let next = Instant::now() + Duration::from_millis(REPORT_INTERVAL_MS);
            let _ = timeout_at(next, group.report_due.notified()).await;
            group.holder.borrow_mut().unseal(self.clock.stamp());
            self.report_to_all(group).await;
            group.request_exchange_if_due(self.clock.now_ms());
            sleep(Duration::from_millis(MIN_REPORT_INTERVAL_MS)).await;
        }
    }

    /// Looks for witnesses while there are too few, and for dead ones; never returns. Apart from the reports, because
    /// requests wait for these, and an address at which nobody answers takes a timeout.
    pub async fn run_witness_search(self: Rc<Self>, index: u32) {
        let incarnation = self.incarnation();
        let group = incarnation.record_group(index);
        loop {
            self.find_witness(group).await;
            self.probe_silent(group).await;
            sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        }
    }

    /// Asks whether witnesses that no longer answer are dead, as they bind this relay otherwise until
    /// what they know is too old.
    async fn probe_silent(&self, group: &AccountGroup) {
        let probes = group.holder.borrow().probes();
        let until = deadline_in(REPORT_TIMEOUT_MS);
        let calls = probes.into_iter().map(async |(id, probe)| {
            let call = self.rpc.call(id.at, INQUIRY_PATH, &probe, until);
            let answer: Option<Option<InquiryAnswer>> = call.await;
            if let Some(answer) = answer {
                let mut holder = group.holder.borrow_mut();
                holder.note_probe(id, answer.as_ref());
            }
        });
        join_all(calls).await;
    }

    /// Reports to all reachable witnesses.
    async fn report_to_all(&self, group: &AccountGroup) {
        let reachable = group.holder.borrow_mut().witnesses().reachable();
        let reports = reachable.into_iter();
        let reports = reports.map(|(id, last)| self.report_to(group, id, last));
        join_all(reports).await;
        group.progress.notify_waiters();
    }

    async fn report_to(&self, group: &AccountGroup, id: WitnessId, last: WitnessReceipt) {
        let report = self.compose_report(group, Some(last));
        let sent_ms = self.clock.stamp().since_boot;
        group.holder.borrow_mut().witnesses().note_sent(id, sent_ms);
        let until = deadline_in(REPORT_TIMEOUT_MS);
        let receipt: Option<WitnessReceipt> = self
            .rpc
            .call_measured(id.at, REPORT_PATH, &report, until)
            .await;
        if let Some(receipt) = receipt {
            let now_ms = self.clock.stamp().since_boot;
            let mut holder = group.holder.borrow_mut();
            holder
                .witnesses()
                .note_receipt(id, receipt, &report.spend_limits, now_ms);
        }
    }

    fn compose_report(&self, group: &AccountGroup, last: Option<WitnessReceipt>) -> WitnessReport {
        let (now_ms, stamp) = (self.clock.now_ms(), self.clock.stamp());
        let report = group.holder.borrow().compose_report(now_ms, stamp);
        WitnessReport {
            last_receipt: last,
            ..report
        }
    }

    /// Looks for another witness if there are too few.
    async fn find_witness(&self, group: &AccountGroup) {
        let Some(at) = self.choose_witness(group) else {
            return;
        };
        let report = self.compose_report(group, None);
        let sent = self.clock.stamp();
        let until = deadline_in(REPORT_TIMEOUT_MS);
        let receipt: Option<WitnessReceipt> = self.rpc.call(at, REPORT_PATH, &report, until).await;
        let Some(receipt) = receipt else {
            let until = Instant::now() + Duration::from_millis(SKIP_MS);
            group.skipped_witnesses.borrow_mut().insert(at, until);
            return;
        };
        let process = receipt.witness;
        let id = WitnessId { at, process };
        group.holder.borrow_mut().add_witness(id, receipt, sent);
    }

    /// Returns the address of another relay that may become a witness. The preference depends on
    /// both names, so that different relays choose different witnesses.
    fn choose_witness(&self, group: &AccountGroup) -> Option<SocketAddr> {
        let mut holder = group.holder.borrow_mut();
        if holder.witnesses().reachable().len() >= WITNESS_COUNT {
            return None;
        }
        let known = holder.witnesses().known();
        let is_known = |at: &SocketAddr| known.iter().any(|id| id.at == *at);
        let now = Instant::now();
        group
            .skipped_witnesses
            .borrow_mut()
            .retain(|_, until| *until > now);
        let skipped = group.skipped_witnesses.borrow();
        let record = group.record.borrow();
        let relays = record.holder_entries().filter(|(id, _)| *id != holder.id());
        let relays = relays.filter_map(|(id, entry)| Some((id, entry.lends_at?)));
        let candidates = relays.filter(|(_, at)| !is_known(at) && !skipped.contains_key(at));
        let best = candidates.min_by_key(|(id, _)| {
            let pair = format!("{} {id}", holder.id());
            XxHash64::oneshot(0, pair.as_bytes())
        });
        best.map(|(_, at)| at)
    }

    /// Handles another relay's report to this witness; returns `None` for a malformed message.
    pub(crate) fn handle_report(&self, message: &[u8]) -> Option<Vec<u8>> {
        let report = postcard::from_bytes(message).ok()?;
        let now_ms = self.clock.stamp().since_boot;
        let incarnation = self.incarnation();
        let mut memory = incarnation.witness_memory.borrow_mut();
        postcard::to_stdvec(&memory.record_report(now_ms, report)).ok()
    }

    /// Handles an inquiry by the successor of a relay that reported to this witness.
    pub(crate) fn handle_inquiry(&self, message: &[u8]) -> Option<Vec<u8>> {
        let inquiry: Inquiry = postcard::from_bytes(message).ok()?;
        let now_ms = self.clock.stamp().since_boot;
        let incarnation = self.incarnation();
        let memory = incarnation.witness_memory.borrow();
        postcard::to_stdvec(&memory.answer_inquiry(now_ms, &inquiry)).ok()
    }

    /// Asks the witnesses of a predecessor that a record names, once per predecessor because
    /// clients wait in the meantime.
    pub(super) async fn inquire(&self, group: &AccountGroup, record: &ShareRecord) {
        let inquiries = group.holder.borrow().inquiries(record);
        let Some(predecessor) = inquiries.first().map(|(_, inquiry)| inquiry.process) else {
            return;
        };
        if group.inquired_process.replace(Some(predecessor)) == Some(predecessor) {
            return;
        }
        let mut is_trusted = false;
        for _ in 0..MAX_INQUIRIES {
            if !is_trusted {
                is_trusted = self.inquire_all(group, &inquiries).await;
            }
        }
        let named = inquiries.len();
        log::info!(target: "money", "Witnesses asked. named={named} trusted={is_trusted}");
    }

    /// Asks all witnesses of a predecessor; returns whether the answer of one is accepted.
    async fn inquire_all(&self, group: &AccountGroup, inquiries: &[(WitnessId, Inquiry)]) -> bool {
        let asked = self.clock.stamp();
        let until = deadline_in(INQUIRY_TIMEOUT_MS);
        let calls = inquiries.iter().map(async |(id, inquiry)| {
            let call = self.rpc.call(id.at, INQUIRY_PATH, inquiry, until);
            let answer: Option<Option<InquiryAnswer>> = call.await;
            answer.flatten().map(|answer| (inquiry.process, answer))
        });
        let mut is_trusted = false;
        for (process, answer) in join_all(calls).await.into_iter().flatten() {
            let mut holder = group.holder.borrow_mut();
            is_trusted |= holder.accept_answer(process, answer, asked);
        }
        is_trusted
    }
}
