//! Exchange of the quarantine with other routers.

use std::collections::HashSet;
use std::net::SocketAddr;

use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at};
use wisteriapass_coord::quarantine::QuarantineDelta;

use crate::ledger::Role;
use crate::prelude::*;
use crate::rpc::deadline_in;

/// Path of a router's quarantine call.
pub const QUARANTINE_PATH: &str = "/relay/quarantine";

/// Interval between periodic calls to one relay after another, in milliseconds. They repeat what
/// was lost in transit.
const PERIOD_MS: u64 = 1_000;

/// Time during which further changes are collected after a change was sent, in milliseconds.
const BATCH_MS: u64 = 50;

/// Time within which an answer has to start, in milliseconds: many round trips within a region.
const ANSWER_TIMEOUT_MS: u64 = 200;

/// Time for which a call to a relay that does not answer is repeated, in milliseconds.
const RETRY_LIMIT_MS: u64 = 4_000;

/// Number of relays to which a follower sends its changes: one may be gone.
const FOLLOWED_RELAYS: usize = 2;

/// Routers to which changes are being sent.
type ActiveSends = Rc<RefCell<HashSet<SocketAddr>>>;

/// Sends changes of the quarantine to relays; never returns.
pub async fn sync_quarantine(gw: Rc<Gateway>) {
    let active = ActiveSends::default();
    let mut next_peer = 0;
    let mut next = deadline_in(PERIOD_MS);
    loop {
        let changed = timeout_at(next, gw.quarantine.changed.notified()).await;
        let receivers = receivers(&gw);
        if changed.is_ok() {
            receivers
                .iter()
                .for_each(|at| start_sending(&gw, &active, *at));
            // Changes that occur at the same time are sent and logged together.
            sleep(Duration::from_millis(BATCH_MS)).await;
            gw.quarantine.log_bans();
            continue;
        }
        next = deadline_in(PERIOD_MS);
        gw.quarantine.maintain();
        next_peer += 1;
        // A follower needs no periodic calls: its update requests exchange the quarantine as well.
        if is_relay(&gw) && !receivers.is_empty() {
            start_sending(&gw, &active, receivers[next_peer % receivers.len()]);
        }
    }
}

fn is_relay(gw: &Gateway) -> bool {
    gw.ledger.role() != Role::Follower
}

/// Returns the routers to which this router sends its changes.
fn receivers(gw: &Gateway) -> Vec<SocketAddr> {
    let roster = gw.ledger.roster.borrow();
    if !is_relay(gw) {
        let followed = roster.relays_by_preference(gw.clock.now_ms()).into_iter();
        return followed.take(FOLLOWED_RELAYS).collect();
    }
    let me = gw.ledger.id();
    let recorded = gw.ledger.relays().into_iter().filter(|r| r.id != me);
    let mut all: Vec<SocketAddr> = recorded
        .map(|r| r.address)
        .chain(roster.addresses())
        .collect();
    all.sort_unstable();
    all.dedup();
    all
}

/// Starts to send changes to a router, unless a task already does.
fn start_sending(gw: &Rc<Gateway>, active: &ActiveSends, at: SocketAddr) {
    if !active.borrow_mut().insert(at) {
        return;
    }
    let (gw, active) = (gw.clone(), active.clone());
    spawn_local(async move {
        send_changes(&gw, at).await;
        active.borrow_mut().remove(&at);
    });
}

/// Sends a router everything that it does not have yet, and applies its answers.
async fn send_changes(gw: &Gateway, at: SocketAddr) {
    let until = deadline_in(RETRY_LIMIT_MS);
    while Instant::now() < until {
        let next = deadline_in(ANSWER_TIMEOUT_MS);
        match send_call(gw, at).await {
            Some(answer) if !answer.has_more && !gw.quarantine.is_behind(at) => return,
            Some(_) => {}
            None => sleep_until(next).await,
        }
    }
    log::info!(target: "quarantine", "Could not send the quarantine changes. relay={at}");
}

async fn send_call(gw: &Gateway, at: SocketAddr) -> Option<QuarantineDelta> {
    let call = gw.quarantine.call_for(at, is_relay(gw));
    let until = deadline_in(ANSWER_TIMEOUT_MS);
    let answer: QuarantineDelta = gw.rpc.call(at, QUARANTINE_PATH, &call, until).await?;
    gw.quarantine.apply_answer(at, &call, &answer);
    Some(answer)
}
