//! The streams that a router remembers.

use std::collections::{HashMap, VecDeque};

use super::report::{OriginReport, ReportedStream};
use super::{MAX_REPORTED, MAX_STREAM_MS, MAX_STREAMS, Software, StreamId};

/// Minimum number of streams at which expired ones are forgotten.
const MIN_SWEEP_LEN: usize = 1_024;

/// Minimum time between two rounds of forgetting, in milliseconds, as each visits all streams.
const MIN_SWEEP_INTERVAL_MS: u64 = 1_000;

/// A remembered stream.
#[derive(Clone, Copy, Debug)]
struct Origin {
    /// Index of its software.
    software: u16,
    /// When its client gives up, in milliseconds.
    deadline: u64,
}

/// Streams that began at this router, and streams that other routers reported.
///
/// A stream is forgotten at its client's deadline, after which nobody resumes it.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    origins: HashMap<StreamId, Origin>,
    software: Vec<Software>,
    /// Streams that began here, oldest first; the sequence number of the last one is `seq`.
    own: VecDeque<StreamId>,
    seq: u64,
    /// Number of streams at which expired ones are forgotten next.
    sweep_len: usize,
    /// When expired streams were last forgotten, in milliseconds.
    swept_at: u64,
}

impl OriginTable {
    /// Records a stream that began or went on at this router.
    pub fn record(&mut self, now: u64, id: StreamId, software: &Software, deadline: u64) {
        if !self.insert(now, id, software, deadline) {
            return;
        }
        self.forget_oldest(now);
        self.own.push_back(id);
        self.seq += 1;
    }

    /// Remembers a stream that another router knows.
    pub fn learn(&mut self, now: u64, id: StreamId, software: &Software, deadline: u64) {
        self.insert(now, id, software, deadline);
    }

    /// Takes over the streams that another router reported.
    pub fn merge(&mut self, now: u64, report: &OriginReport) {
        for stream in &report.streams {
            let software = report.software.get(usize::from(stream.software));
            if let Some(software) = software {
                let deadline = now.saturating_add(stream.remaining_ms);
                self.insert(now, stream.id, software, deadline);
            }
        }
    }

    /// Returns the software that began a stream, if it is remembered.
    pub fn get(&self, now: u64, id: &StreamId) -> Option<&Software> {
        let origin = self.origins.get(id).filter(|o| now < o.deadline)?;
        self.software.get(usize::from(origin.software))
    }

    /// Returns the sequence number of the last stream that began here.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the streams that began here after a sequence number, as many as fit in a report.
    pub fn report_since(&self, now: u64, seq: u64) -> OriginReport {
        let first = self.seq - self.own.len() as u64;
        let skipped = seq.saturating_sub(first) as usize;
        let new: Vec<StreamId> = self
            .own
            .iter()
            .skip(skipped)
            .take(MAX_REPORTED)
            .copied()
            .collect();
        let mut report = OriginReport {
            seq: first + (skipped + new.len()) as u64,
            ..OriginReport::default()
        };
        for id in new {
            self.add_to_report(now, id, &mut report);
        }
        report
    }

    /// Returns the number of remembered streams, including expired ones.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Inserts a stream, unless the table is full. The software that is known first remains: nothing
    /// else may have written the stream's events.
    fn insert(&mut self, now: u64, id: StreamId, software: &Software, deadline: u64) -> bool {
        self.make_room(now);
        let deadline = deadline.min(now + MAX_STREAM_MS);
        if let Some(known) = self.origins.get_mut(&id).filter(|o| now < o.deadline) {
            known.deadline = known.deadline.max(deadline);
            return self.software[usize::from(known.software)] == *software;
        }
        let is_full = self.origins.len() >= MAX_STREAMS;
        let index = self.index_of(software).filter(|_| !is_full);
        let Some(software) = index else {
            return false;
        };
        self.origins.insert(id, Origin { software, deadline });
        true
    }

    fn index_of(&mut self, software: &Software) -> Option<u16> {
        let known = self.software.iter().position(|s| s == software);
        let index = known.unwrap_or(self.software.len());
        let index = u16::try_from(index).ok()?;
        if known.is_none() {
            self.software.push(software.clone());
        }
        Some(index)
    }

    /// Forgets expired streams, if the table has doubled since it did so.
    fn make_room(&mut self, now: u64) {
        let is_due = now >= self.swept_at + MIN_SWEEP_INTERVAL_MS;
        if self.origins.len() < self.sweep_len || !is_due {
            return;
        }
        self.origins.retain(|_, origin| now < origin.deadline);
        self.sweep_len = MIN_SWEEP_LEN.max(2 * self.origins.len()).min(MAX_STREAMS);
        self.swept_at = now;
    }

    /// Forgets the oldest streams of this router that have expired, or one if there are too many.
    fn forget_oldest(&mut self, now: u64) {
        let is_live = |id: &StreamId| self.origins.get(id).is_some_and(|o| now < o.deadline);
        let expired = self.own.iter().take_while(|id| !is_live(id)).count();
        let surplus = usize::from(self.own.len() >= MAX_STREAMS);
        self.own.drain(..expired.max(surplus));
    }

    fn add_to_report(&self, now: u64, id: StreamId, report: &mut OriginReport) {
        let Some(origin) = self.origins.get(&id).filter(|o| now < o.deadline) else {
            return;
        };
        let software = &self.software[usize::from(origin.software)];
        let known = report.software.iter().position(|s| s == software);
        let index = known.unwrap_or(report.software.len());
        if known.is_none() {
            report.software.push(software.clone());
        }
        report.streams.push(ReportedStream {
            id,
            software: index as u16,
            remaining_ms: origin.deadline - now,
        });
    }
}
