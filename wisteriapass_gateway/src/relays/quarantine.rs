//! Exchange of the quarantine with other routers.

use std::collections::HashSet;
use std::net::SocketAddr;

use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at};
use wisteriapass_coord::quarantine::News;

use crate::call::within;
use crate::ledger::Role;
use crate::prelude::*;

/// Path of a router's quarantine call.
pub const QUARANTINE_PATH: &str = "/relay/quarantine";

/// Interval between periodic calls to one relay after another, in milliseconds. They repeat what
/// was lost in transit.
const TURN_MS: u64 = 1_000;

/// Time during which further changes are collected after a change was sent, in milliseconds.
const TOGETHER_MS: u64 = 50;

/// Time within which an answer has to start, in milliseconds: many round trips within a region.
const PATIENCE_MS: u64 = 200;

/// Time for which a call to a relay that does not answer is repeated, in milliseconds.
const GIVE_UP_MS: u64 = 4_000;

/// Number of relays to which a follower sends its changes: one may be gone.
const FOLLOWED: usize = 2;

/// Routers to which changes are being sent.
type Telling = Rc<RefCell<HashSet<SocketAddr>>>;

/// Sends changes of the quarantine to relays; never returns.
pub async fn sync_quarantine(gw: Rc<Gateway>) {
    let telling = Telling::default();
    let mut turn = 0;
    let mut next = within(TURN_MS);
    loop {
        let changed = timeout_at(next, gw.quarantine.changed.notified()).await;
        let told = peers(&gw);
        if changed.is_ok() {
            told.iter().for_each(|at| start(&gw, &telling, *at));
            // Changes that occur at the same time are sent and logged together.
            sleep(Duration::from_millis(TOGETHER_MS)).await;
            gw.quarantine.log_bans();
            continue;
        }
        next = within(TURN_MS);
        gw.quarantine.tidy();
        turn += 1;
        // A follower gets the updates of its relay.
        if is_relay(&gw) && !told.is_empty() {
            start(&gw, &telling, told[turn % told.len()]);
        }
    }
}

fn is_relay(gw: &Gateway) -> bool {
    gw.ledger.role() != Role::Follower
}

/// Returns the routers to which this router sends its changes.
fn peers(gw: &Gateway) -> Vec<SocketAddr> {
    let roster = gw.ledger.roster.borrow();
    if !is_relay(gw) {
        let followed = roster.granters(gw.clock.now_ms()).into_iter();
        return followed.take(FOLLOWED).collect();
    }
    let me = gw.ledger.id();
    let recorded = gw.ledger.relays().into_iter().filter(|r| r.id != me);
    let mut all: Vec<SocketAddr> = recorded.map(|r| r.at).chain(roster.addresses()).collect();
    all.sort_unstable();
    all.dedup();
    all
}

/// Starts to send changes to a router, unless a task already does.
fn start(gw: &Rc<Gateway>, telling: &Telling, at: SocketAddr) {
    if !telling.borrow_mut().insert(at) {
        return;
    }
    let (gw, telling) = (gw.clone(), telling.clone());
    spawn_local(async move {
        tell(&gw, at).await;
        telling.borrow_mut().remove(&at);
    });
}

/// Sends a router everything that it does not have yet, and applies its answers.
async fn tell(gw: &Gateway, at: SocketAddr) {
    let until = within(GIVE_UP_MS);
    while Instant::now() < until {
        let next = within(PATIENCE_MS);
        match exchange(gw, at).await {
            Some(answer) if !answer.has_more && !gw.quarantine.is_behind(at) => return,
            Some(_) => {}
            None => sleep_until(next).await,
        }
    }
    log::info!(target: "quarantine", "Not told. relay={at}");
}

async fn exchange(gw: &Gateway, at: SocketAddr) -> Option<News> {
    let call = gw.quarantine.call_for(at, is_relay(gw));
    let until = within(PATIENCE_MS);
    let answer: News = gw.caller.call(at, QUARANTINE_PATH, &call, until).await?;
    gw.quarantine.take(at, &call, &answer);
    Some(answer)
}
