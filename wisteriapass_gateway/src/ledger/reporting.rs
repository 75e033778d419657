//! Reporting to witnesses, and asking those of a dead predecessor.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{Instant, sleep, timeout_at};
use twox_hash::XxHash64;
use wisteriapass_coord::prepaid::{
    Inquiry, Receipt, Report, ShareRecord, Testimony, WITNESSES, WitnessId,
};

use super::TokenLedger;
use super::group::Group;
use crate::call::within;

/// Path of a relay's report.
pub const REPORT: &str = "/witness/report";

/// Path of a successor's question.
pub const INQUIRY: &str = "/witness/inquiry";

/// Time between two reports, in milliseconds: as old is what a witness knows of a router's life.
const REPORT_MS: u64 = 200;

/// Shortest time between two, in milliseconds: requests that wait for a receipt share one.
const LEAST_MS: u64 = 15;

/// Longest wait for a receipt, in milliseconds: many round trips within a region.
const PATIENCE_MS: u64 = 180;

/// Longest wait for a testimony, in milliseconds; a successor can serve little before it.
const INQUIRY_MS: u64 = 200;

/// Times that the predecessor's witnesses are asked.
const INQUIRIES: usize = 2;

/// Time for which an address where no witness answered is passed over, in milliseconds.
const AWAY_MS: u64 = 5_000;

impl TokenLedger {
    /// Reports to this router's witnesses; never ends.
    pub async fn keep_witnesses(self: Rc<Self>, index: u32) {
        let group = &self.groups[index as usize];
        loop {
            let next = Instant::now() + Duration::from_millis(REPORT_MS);
            let _ = timeout_at(next, group.report_due.notified()).await;
            group.holder.borrow_mut().unseal(self.clock.stamp());
            self.report(group).await;
            self.find_witness(group).await;
            sleep(Duration::from_millis(LEAST_MS)).await;
        }
    }

    /// Reports to all witnesses that answer.
    async fn report(&self, group: &Group) {
        let reachable = group.holder.borrow_mut().witnesses().reachable();
        let reports = reachable.into_iter();
        let reports = reports.map(|(id, last)| self.report_to(group, id, last));
        join_all(reports).await;
        group.done.notify_waiters();
    }

    async fn report_to(&self, group: &Group, id: WitnessId, last: Receipt) {
        let report = self.compose_report(group, Some(last));
        let sent_ms = self.clock.stamp().since_boot;
        group.holder.borrow_mut().witnesses().sent(id, sent_ms);
        let until = within(PATIENCE_MS);
        let receipt: Option<Receipt> = self
            .caller
            .call_measured(id.at, REPORT, &report, until)
            .await;
        if let Some(receipt) = receipt {
            let now_ms = self.clock.stamp().since_boot;
            let mut holder = group.holder.borrow_mut();
            holder
                .witnesses()
                .heard(id, receipt, &report.levels, now_ms);
        }
    }

    fn compose_report(&self, group: &Group, last: Option<Receipt>) -> Report {
        let (now_ms, stamp) = (self.clock.now_ms(), self.clock.stamp());
        let report = group.holder.borrow().report(now_ms, stamp);
        Report { last, ..report }
    }

    /// Looks for another witness if there are too few.
    async fn find_witness(&self, group: &Group) {
        let Some(at) = self.next_witness(group) else {
            return;
        };
        let report = self.compose_report(group, None);
        let sent = self.clock.stamp();
        let until = within(PATIENCE_MS);
        let receipt: Option<Receipt> = self.caller.call(at, REPORT, &report, until).await;
        let Some(receipt) = receipt else {
            let until = Instant::now() + Duration::from_millis(AWAY_MS);
            group.away.borrow_mut().insert(at, until);
            return;
        };
        let process = receipt.witness;
        let id = WitnessId { at, process };
        group.holder.borrow_mut().add_witness(id, receipt, sent);
    }

    /// Returns another router that wrote of late and may be a witness; each router prefers others.
    fn next_witness(&self, group: &Group) -> Option<SocketAddr> {
        let mut holder = group.holder.borrow_mut();
        if holder.witnesses().reachable().len() >= WITNESSES {
            return None;
        }
        let known = holder.witnesses().known();
        let is_known = |at: &SocketAddr| known.iter().any(|id| id.at == *at);
        let now = Instant::now();
        group.away.borrow_mut().retain(|_, until| *until > now);
        let away = group.away.borrow();
        let record = group.record.borrow();
        let others = record.tenures().filter(|(id, _)| *id != holder.id());
        let others = others.filter_map(|(id, tenure)| Some((id, tenure.lends_at?)));
        let fit = others.filter(|(_, at)| !is_known(at) && !away.contains_key(at));
        let best = fit.min_by_key(|(id, _)| {
            let pair = format!("{} {id}", holder.id());
            XxHash64::oneshot(0, pair.as_bytes())
        });
        best.map(|(_, at)| at)
    }

    /// Answers another relay that reports to its witness; `None` for what is no report.
    pub(crate) fn answer_report(&self, message: &[u8]) -> Option<Vec<u8>> {
        let report = postcard::from_bytes(message).ok()?;
        let now_ms = self.clock.stamp().since_boot;
        postcard::to_stdvec(&self.book.borrow_mut().hear(now_ms, report)).ok()
    }

    /// Answers a successor that asks the witness of its predecessor.
    pub(crate) fn answer_inquiry(&self, message: &[u8]) -> Option<Vec<u8>> {
        let inquiry: Inquiry = postcard::from_bytes(message).ok()?;
        let now_ms = self.clock.stamp().since_boot;
        postcard::to_stdvec(&self.book.borrow().testify(now_ms, &inquiry)).ok()
    }

    /// Asks the witnesses of a predecessor that a record names, once: callers wait meanwhile.
    pub(super) async fn inquire(&self, group: &Group, record: &ShareRecord) {
        let inquiries = group.holder.borrow().inquiries(record);
        let Some(before) = inquiries.first().map(|(_, inquiry)| inquiry.process) else {
            return;
        };
        if group.asked.replace(Some(before)) == Some(before) {
            return;
        }
        let mut is_known = false;
        for _ in 0..INQUIRIES {
            if !is_known {
                is_known = self.ask_all(group, &inquiries).await;
            }
        }
        let named = inquiries.len();
        log::info!(target: "money", "Witnesses asked. named={named} believed={is_known}");
    }

    /// Asks all witnesses of a predecessor; returns whether one of them is believed.
    async fn ask_all(&self, group: &Group, inquiries: &[(WitnessId, Inquiry)]) -> bool {
        let asked = self.clock.stamp();
        let until = within(INQUIRY_MS);
        let asking = inquiries.iter().map(async |(id, inquiry)| {
            let call = self.caller.call(id.at, INQUIRY, inquiry, until);
            let answer: Option<Option<Testimony>> = call.await;
            answer
                .flatten()
                .map(|testimony| (inquiry.process, testimony))
        });
        let mut is_known = false;
        for (process, testimony) in join_all(asking).await.into_iter().flatten() {
            let mut holder = group.holder.borrow_mut();
            is_known |= holder.testify(process, testimony, asked);
        }
        is_known
    }
}
