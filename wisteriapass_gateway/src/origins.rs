//! What this router knows of the software versions that began streams.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::sync::{Notify, watch};
use wisteriapass_coord::origin::{
    Knowledge, OriginReport, OriginTable, Software, StreamId, VersionHistory, VersionRecord,
};

use crate::prelude::*;
use crate::rpc::deadline_in;
use crate::targets::Targets;

/// Maximum number of routers whose state is tracked: more than there are relays at any time.
const MAX_PEERS: usize = 256;

/// Maximum number of streams of which it is noted that no router remembers them.
const MAX_UNKNOWN: usize = 4_096;

/// Time after which routers are asked again for a stream that none remembered, in milliseconds: some
/// clients repeat a refused request at once and often.
const ASK_AGAIN_MS: u64 = 1_000;

/// Time for which others are preferred to a peer that did not answer, in milliseconds: a process that
/// ended is back by then.
const SILENCE_MS: u64 = 1_000;

/// A question of another router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The stream.
    pub stream: StreamId,
    /// Services that may have begun it.
    pub services: SmallVec<[String; 2]>,
}

/// Answer to a report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// Id of the receiver's process; differs for each start.
    pub process: u64,
}

/// How far a peer knows the streams of this router.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Id of its process; 0 if it has not answered yet.
    process: u64,
    /// Sequence number up to which it knows the streams.
    acknowledged: u64,
    /// Until when others are preferred, as it did not answer.
    silent_until: Option<Instant>,
}

/// What this router knows of the origins of streams, and how far its peers know its own streams.
#[derive(Debug)]
pub struct SharedOrigins {
    clock: Clock,
    process: u64,
    table: RefCell<OriginTable>,
    history: RefCell<VersionHistory>,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    /// Streams that no router remembers, and until when none is asked again.
    unknown: RefCell<HashMap<StreamId, Instant>>,
    /// Whether the history is complete.
    is_complete: watch::Sender<bool>,
    /// Wakes the task that reports streams to other routers.
    pub has_streams: Notify,
    /// Wakes the task that stores the versions.
    pub has_versions: Notify,
}

impl SharedOrigins {
    /// Creates an empty state.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            process: rand::random::<u64>().max(1),
            table: RefCell::default(),
            history: RefCell::default(),
            peers: RefCell::default(),
            unknown: RefCell::default(),
            is_complete: watch::Sender::new(false),
            has_streams: Notify::new(),
            has_versions: Notify::new(),
        }
    }

    /// Records the versions of all known targets.
    pub fn observe_targets(&self, targets: &Targets) {
        let serving = targets.iter().filter(|t| t.has_entry()).map(|t| {
            let entry = &t.entry;
            (entry.service.as_str(), entry.version.as_str())
        });
        let now_ms = self.clock.now_ms();
        if self.history.borrow_mut().observe(now_ms, serving) {
            self.has_versions.notify_one();
            // Streams of before may be asked for from now on.
            self.has_streams.notify_one();
        }
    }

    /// Records the software that began a stream, which its client may resume until a deadline.
    pub fn record(&self, stream: StreamId, software: &Software, deadline: Instant) {
        let (now_ms, deadline_ms) = (self.clock.now_ms(), self.time_ms(deadline));
        let mut table = self.table.borrow_mut();
        table.record(now_ms, stream, software, deadline_ms);
        self.has_streams.notify_one();
    }

    /// Remembers the software of a stream that another router knows.
    pub fn learn(&self, stream: StreamId, software: &Software, deadline: Instant) {
        let (now_ms, deadline_ms) = (self.clock.now_ms(), self.time_ms(deadline));
        let mut table = self.table.borrow_mut();
        table.learn(now_ms, stream, software, deadline_ms);
    }

    /// Notes that no router remembers a stream, so that none is asked again for a moment.
    pub fn record_unknown(&self, stream: StreamId) {
        let mut unknown = self.unknown.borrow_mut();
        if unknown.len() >= MAX_UNKNOWN {
            unknown.clear();
        }
        unknown.insert(stream, deadline_in(ASK_AGAIN_MS));
    }

    /// Returns whether other routers were asked for a stream a moment ago, and none remembered it.
    pub fn is_unknown(&self, stream: &StreamId) -> bool {
        let unknown = self.unknown.borrow();
        unknown
            .get(stream)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// Converts an instant to milliseconds of this router's clock.
    fn time_ms(&self, at: Instant) -> u64 {
        let left = at.saturating_duration_since(Instant::now());
        self.clock.now_ms() + left.as_millis() as u64
    }

    /// Returns what this router knows of a stream of one of these services.
    pub fn knowledge<'a>(
        &self,
        stream: Option<&StreamId>,
        services: impl Iterator<Item = &'a str>,
    ) -> Knowledge {
        let now_ms = self.clock.now_ms();
        let history = self.history.borrow();
        let table = self.table.borrow();
        let possible = services.flat_map(|service| history.of_service(now_ms, service));
        Knowledge {
            origin: stream.and_then(|id| table.get(now_ms, id)).cloned(),
            possible: possible.cloned().collect(),
            is_complete: history.is_complete(),
            is_fresh: false,
        }
    }

    /// Returns whether more than one version of some service may have begun streams.
    pub fn has_several_versions(&self) -> bool {
        let history = self.history.borrow();
        history.has_several_versions(self.clock.now_ms())
    }

    /// Returns the sequence number of the last stream that began at this router.
    pub fn seq(&self) -> u64 {
        self.table.borrow().seq()
    }

    /// Returns the next report for a peer; `None` if it knows all streams up to a sequence number.
    pub fn report_for(&self, at: SocketAddr, up_to: u64) -> Option<OriginReport> {
        let acknowledged = self.peers.borrow().get(&at).map_or(0, |p| p.acknowledged);
        let table = self.table.borrow();
        (acknowledged < up_to).then(|| table.report_since(self.clock.now_ms(), acknowledged))
    }

    /// Records a peer's answer to a report. A process that has just started at its address knows none of
    /// the streams that were reported before.
    pub fn apply_answer(&self, at: SocketAddr, report: &OriginReport, answer: ReportAnswer) {
        let mut peers = self.peers.borrow_mut();
        if peers.len() >= MAX_PEERS {
            peers.clear();
        }
        let peer = peers.entry(at).or_default();
        let has_restarted = peer.process != 0 && peer.process != answer.process;
        *peer = Peer {
            process: answer.process,
            acknowledged: if has_restarted { 0 } else { report.seq },
            silent_until: None,
        };
    }

    /// Records that a peer did not answer.
    pub fn record_no_answer(&self, at: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(at).or_default();
        peer.silent_until = Some(deadline_in(SILENCE_MS));
    }

    /// Returns whether a peer did not answer of late.
    pub fn is_silent(&self, at: SocketAddr) -> bool {
        let peers = self.peers.borrow();
        let until = peers.get(&at).and_then(|peer| peer.silent_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Handles a peer's report. The peer may have heard of a version earlier than this router.
    pub fn handle_report(&self, report: &OriginReport) -> ReportAnswer {
        let now_ms = self.clock.now_ms();
        self.table.borrow_mut().merge(now_ms, report);
        let mut history = self.history.borrow_mut();
        report
            .software
            .iter()
            .for_each(|s| history.learn(now_ms, s));
        ReportAnswer {
            process: self.process,
        }
    }

    /// Takes over the stored versions, with which the history is complete.
    pub fn merge_record(&self, record: &VersionRecord) {
        let now_ms = self.clock.now_ms();
        self.history.borrow_mut().merge(now_ms, record);
        self.is_complete.send_replace(true);
    }

    /// Returns the record of versions that replaces the stored one.
    pub fn updated_record(&self, stored: &VersionRecord) -> VersionRecord {
        let mut history = self.history.borrow_mut();
        history.forget_expired(self.clock.now_ms());
        history.updated_record(stored)
    }

    /// Waits until the history is complete.
    pub async fn wait_until_complete(&self) {
        let mut is_complete = self.is_complete.subscribe();
        // An error means that the router is shutting down.
        let _ = is_complete.wait_for(|is_complete| *is_complete).await;
    }
}
