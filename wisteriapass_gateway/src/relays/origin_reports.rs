//! Reports of the streams that began at this router.

use std::net::SocketAddr;

use futures_util::future::join_all;
use smallvec::SmallVec;
use tokio::time::sleep;
use wisteriapass_coord::prepaid::DomainId;
use wisteriapass_coord::relay::RelayInfo;
use wisteriapass_policy::placement::hash_name;
use wisteriapass_policy::rendezvous::rank;

use super::known::other_relays;
use crate::origins::ReportAnswer;
use crate::prelude::*;
use crate::rpc::deadline_in;

/// Path of a report of streams.
pub const ORIGIN_REPORT_PATH: &str = "/relay/origins";

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
        let answer: Option<ReportAnswer> =
            gw.rpc.call(at, ORIGIN_REPORT_PATH, &report, until).await;
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
    let mut relays = other_relays(gw);
    let own_hash = hash_name(&gw.settings.name);
    let own_domain = DomainId::new(&gw.settings.failure_domain);
    relays.sort_by_cached_key(|relay| {
        let is_silent = gw.origins.is_silent(relay.address);
        let rank = rank(own_hash, hash_name(&relay.id.0));
        (is_silent, relay.domain == own_domain, rank)
    });
    let mut ordered: SmallVec<[RelayInfo; 8]> = SmallVec::new();
    let mut others: SmallVec<[RelayInfo; 8]> = SmallVec::new();
    for relay in relays {
        let is_new_domain = ordered.iter().all(|known| known.domain != relay.domain);
        if is_new_domain && !gw.origins.is_silent(relay.address) {
            ordered.push(relay);
        } else {
            others.push(relay);
        }
    }
    ordered.extend(others);
    ordered.iter().map(|relay| relay.address).collect()
}
