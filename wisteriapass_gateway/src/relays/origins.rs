//! Reports of the streams that began at this router, and questions about those of others.

use std::net::SocketAddr;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;
use tokio::time::sleep;
use wisteriapass_coord::origin::{Knowledge, Software, StreamId, resolve};
use wisteriapass_coord::prepaid::DomainId;

use super::known::{KnownPeer, known_relays};
use crate::metrics::OriginSource;
use crate::origins::{OriginQuery, ReportAnswer};
use crate::prelude::*;
use crate::rpc::deadline_in;

/// Path of a report of streams.
pub const REPORT_PATH: &str = "/relay/origins";

/// Path of a question about a stream.
pub const QUERY_PATH: &str = "/relay/origin";

/// Pause between two reports, in milliseconds, a fraction of the duration of a stream. Streams that
/// begin within it are unknown to others if the router dies.
const BATCH_MS: u64 = 100;

/// Additional time for each router of the fleet, in microseconds, so that a relay of a large fleet
/// does not get more reports than it can handle.
const BATCH_PER_ROUTER_US: u64 = 500;

/// Time within which an answer has to start, in milliseconds: many round trips within a region, also
/// to a router on a busy VM.
const ANSWER_TIMEOUT_MS: u64 = 200;

/// Number of routers that are told of a stream: some of them may die together with this router.
const REPORT_COPIES: usize = 3;

/// Reports streams to other routers while more than one version may have begun them; never returns.
pub async fn report_origins(gw: Rc<Gateway>) {
    loop {
        gw.origins.has_streams.notified().await;
        if gw.has_several_origins() {
            report_to_peers(&gw).await;
        }
        sleep(batch_time(gw.ledger.router_count())).await;
    }
}

/// Returns the pause between two reports.
fn batch_time(routers: usize) -> Duration {
    let for_routers = Duration::from_micros(BATCH_PER_ROUTER_US * routers as u64);
    Duration::from_millis(BATCH_MS) + for_routers
}

/// Sends reports to the first routers that answer.
async fn report_to_peers(gw: &Gateway) {
    let mut copies = 0;
    let peers = receivers(gw);
    let mut rest = &peers[..];
    while copies < REPORT_COPIES && !rest.is_empty() {
        let (next, others) = rest.split_at((REPORT_COPIES - copies).min(rest.len()));
        let sent = join_all(next.iter().map(|at| send_report(gw, *at))).await;
        copies += sent.into_iter().filter(|is_sent| *is_sent).count();
        rest = others;
    }
}

/// Sends a peer all streams that it does not know; returns whether it knows them now. Streams that begin
/// meanwhile wait for the next round.
async fn send_report(gw: &Gateway, at: SocketAddr) -> bool {
    let up_to = gw.origins.seq();
    while let Some(report) = gw.origins.report_for(at, up_to) {
        let until = deadline_in(ANSWER_TIMEOUT_MS);
        let answer: Option<ReportAnswer> = gw.rpc.call(at, REPORT_PATH, &report, until).await;
        let Some(answer) = answer else {
            gw.origins.record_no_answer(at);
            return false;
        };
        gw.origins.apply_answer(at, &report, answer);
    }
    true
}

/// Returns the routers that are told of streams, in this router's order: those of other failure
/// domains first, each in a domain of its own if there are as many, as a whole domain may be lost.
/// Those that did not answer of late come last.
fn receivers(gw: &Gateway) -> SmallVec<[SocketAddr; 8]> {
    let mut peers = known_relays(gw);
    peers.retain(|peer| peer.id != gw.ledger.id());
    let me = &gw.settings.name;
    let own_domain = DomainId::new(&gw.settings.failure_domain);
    peers.sort_by_cached_key(|peer| {
        let is_silent = gw.origins.is_silent(peer.address);
        (is_silent, peer.domain == own_domain, peer.rank_for(me))
    });
    let mut ordered: SmallVec<[KnownPeer; 8]> = SmallVec::new();
    let mut others: SmallVec<[KnownPeer; 8]> = SmallVec::new();
    for peer in peers {
        let is_new_domain = ordered.iter().all(|known| known.domain != peer.domain);
        if is_new_domain && !gw.origins.is_silent(peer.address) {
            ordered.push(peer);
        } else {
            others.push(peer);
        }
    }
    ordered.extend(others);
    ordered.iter().map(|peer| peer.address).collect()
}

/// Finds the software at which a stream of one of these services goes on; `None` if it is not known.
///
/// All relays are asked, as a few routers were told of the stream, and other ones know of
/// a version.
pub async fn find_origin(
    gw: &Gateway,
    stream: StreamId,
    services: SmallVec<[String; 2]>,
) -> FoundOrigin {
    let own = own_knowledge(gw, &stream, &services);
    if own.origin.is_some() {
        return FoundOrigin::new(&own, 0, &[]);
    }
    if gw.origins.is_unknown(&stream) {
        return FoundOrigin::unknown();
    }
    let mut peers = known_relays(gw);
    peers.retain(|peer| peer.id != gw.ledger.id());
    let query = OriginQuery { stream, services };
    let calls = peers.iter().map(|peer| {
        let until = deadline_in(ANSWER_TIMEOUT_MS);
        gw.rpc.call(peer.address, QUERY_PATH, &query, until)
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut answers: Vec<Knowledge> = Vec::new();
    while let Some(answer) = calls.next().await {
        answers.extend(answer);
        if answers.last().is_some_and(|k| k.origin.is_some()) {
            break;
        }
    }
    // The stream may have been reported, or the versions read, since.
    let own = own_knowledge(gw, &query.stream, &query.services);
    FoundOrigin::new(&own, peers.len(), &answers)
}

fn own_knowledge(gw: &Gateway, stream: &StreamId, services: &[String]) -> Knowledge {
    let services = services.iter().map(String::as_str);
    Knowledge {
        is_fresh: gw.has_recent_targets(),
        ..gw.origins.knowledge(Some(stream), services)
    }
}

/// Answers another router's question.
pub fn answer_query(gw: &Gateway, query: &OriginQuery) -> Knowledge {
    own_knowledge(gw, &query.stream, &query.services)
}

/// The software at which a stream goes on, and where that is known from.
#[derive(Clone, Debug)]
pub struct FoundOrigin {
    /// The software; `None` if it is not known.
    pub software: Option<Software>,
    /// Where it is known from.
    pub source: OriginSource,
    /// Number of routers that were asked.
    pub asked: usize,
    /// Number of routers that answered before it was known.
    pub answered: usize,
    /// Whether a router is among them, or this one, that knows what served before it started.
    pub is_complete: bool,
}

impl FoundOrigin {
    fn unknown() -> Self {
        Self {
            software: None,
            source: OriginSource::Unknown,
            asked: 0,
            answered: 0,
            is_complete: true,
        }
    }

    /// Returns the only software that this router knows of, if there is a single one.
    pub fn of_only_version(own: &Knowledge) -> Self {
        let known = Knowledge {
            is_complete: true,
            ..own.clone()
        };
        Self::new(&known, 0, &[])
    }

    fn new(own: &Knowledge, asked: usize, answers: &[Knowledge]) -> Self {
        let software = resolve(own, asked, answers);
        let source = match &software {
            None => OriginSource::Unknown,
            Some(_) if own.origin.is_some() => OriginSource::Own,
            Some(_) if answers.iter().any(|k| k.origin.is_some()) => OriginSource::Peer,
            Some(_) => OriginSource::OnlyVersion,
        };
        Self {
            software,
            source,
            asked,
            answered: answers.len(),
            is_complete: own.is_complete || answers.iter().any(|k| k.is_complete),
        }
    }
}
