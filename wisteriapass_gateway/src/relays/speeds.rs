//! Exchange of the speeds of targets with other routers.

use std::collections::HashMap;
use std::net::SocketAddr;

use futures_util::future::join_all;
use smallvec::SmallVec;
use tokio::time::sleep;
use wisteriapass_coord::prepaid::HolderId;

use super::known::other_relays;
use crate::ledger::Role;
use crate::prelude::*;
use crate::rpc::deadline_in;
use crate::speeds::{SpeedAnswer, SpeedCall, SpeedEntry};

/// Path of a router's call with the speeds of targets.
pub const SPEEDS_PATH: &str = "/relay/speeds";

/// Interval between two exchanges, in milliseconds.
const PERIOD_MS: u64 = 300;

/// Time within which an answer has to start, in milliseconds: many round trips within a region.
const ANSWER_TIMEOUT_MS: u64 = 200;

/// Interval at which a follower asks although it has nothing to say and heard nothing, in
/// milliseconds. A relay cannot call its followers, whose addresses it does not know.
const IDLE_PERIOD_MS: u64 = 3_000;

/// Time for which a router that did not answer is not called, in milliseconds. It may be of a version
/// that does not know the path.
const SILENT_MS: u64 = 3_000;

/// Number of relays that a relay calls in one exchange. With more relays they take turns, so that a
/// relay of a large fleet spends no more on this.
const MAX_CALLED_RELAYS: usize = 6;

/// Exchanges speeds with relays while there is something to say; never returns.
pub async fn sync_speeds(gw: Rc<Gateway>) {
    let mut exchange = SpeedExchange::new(gw);
    loop {
        sleep(Duration::from_millis(PERIOD_MS)).await;
        exchange.run_once().await;
    }
}

/// State of this router's part in the exchange.
struct SpeedExchange {
    gw: Rc<Gateway>,
    process: u64,
    /// Number of exchanges so far.
    rounds: usize,
    /// When a follower asks next although it has nothing to say.
    ask_at: Instant,
    /// Routers that did not answer, and when they may be called again.
    silent_until: HashMap<SocketAddr, Instant>,
}

impl SpeedExchange {
    fn new(gw: Rc<Gateway>) -> Self {
        Self {
            gw,
            process: rand::random(),
            rounds: 0,
            ask_at: Instant::now(),
            silent_until: HashMap::new(),
        }
    }

    async fn run_once(&mut self) {
        let is_relay = self.gw.ledger.role() != Role::Follower;
        let entries = self.update_targets();
        let is_due = !is_relay && Instant::now() >= self.ask_at;
        if entries.is_empty() && !is_due {
            return;
        }
        self.ask_at = deadline_in(IDLE_PERIOD_MS);
        self.rounds += 1;
        let receivers = self.receivers(is_relay);
        let calls = receivers.into_iter().map(|(relay, at)| {
            let (gw, entries) = (&self.gw, &entries);
            send_call(gw, self.process, is_relay, relay, at, entries)
        });
        for (at, has_answered, has_entries) in join_all(calls).await {
            if !has_answered {
                self.silent_until.insert(at, deadline_in(SILENT_MS));
            }
            if has_entries {
                self.ask_at = Instant::now();
            }
        }
    }

    /// Applies the reports of other routers and counts targets; returns what this router has to say.
    fn update_targets(&self) -> Vec<SpeedEntry> {
        let (gw, now) = (&self.gw, self.gw.time());
        let targets = gw.targets.borrow();
        gw.speeds.update_targets(&targets, now);
        let open = targets.iter().filter(|t| t.is_open(Instant::now()));
        let factors = open.map(|target| gw.speeds.lasting(target, now));
        gw.metrics.record_target_speeds(factors);
        gw.speeds.own_entries(&targets, now)
    }

    /// Returns the relays that are called now: a follower calls one, a relay some others in turn.
    fn receivers(&mut self, is_relay: bool) -> SmallVec<[(HolderId, SocketAddr); 8]> {
        let now = Instant::now();
        self.silent_until.retain(|_, until| now < *until);
        let is_silent = |at: &SocketAddr| self.silent_until.contains_key(at);
        if !is_relay {
            let roster = self.gw.ledger.roster.borrow();
            let preferred = roster.relays_by_preference(self.gw.clock.now_ms());
            let at = preferred.into_iter().find(|at| !is_silent(at));
            let relay = roster.relays().find(|relay| Some(relay.address) == at);
            return relay
                .map(|r| (r.id.clone(), r.address))
                .into_iter()
                .collect();
        }
        let mut relays = other_relays(&self.gw);
        relays.retain(|relay| !is_silent(&relay.address));
        let start = (self.rounds * MAX_CALLED_RELAYS) % relays.len().max(1);
        let in_turn = relays.iter().cycle().skip(start);
        let called = in_turn.take(relays.len().min(MAX_CALLED_RELAYS));
        called.map(|r| (r.id.clone(), r.address)).collect()
    }
}

/// Sends a call; returns the address, whether it was answered, and whether the answer says anything.
async fn send_call(
    gw: &Gateway,
    process: u64,
    is_relay: bool,
    relay: HolderId,
    at: SocketAddr,
    entries: &[SpeedEntry],
) -> (SocketAddr, bool, bool) {
    let called_at = gw.time();
    let call = SpeedCall {
        router: gw.ledger.id(),
        process,
        sent_ms: gw.clock.now_ms(),
        is_relay,
        entries: entries.to_vec(),
    };
    let until = deadline_in(ANSWER_TIMEOUT_MS);
    let answer: Option<SpeedAnswer> = gw.rpc.call(at, SPEEDS_PATH, &call, until).await;
    let Some(answer) = answer else {
        return (at, false, false);
    };
    let has_entries = !answer.entries.is_empty();
    let is_follower = !is_relay;
    gw.speeds
        .record_answer(&relay, answer, called_at, is_follower);
    (at, true, has_entries)
}

/// Answers a call of another router.
pub fn answer_speeds(gw: &Gateway, call: &SpeedCall) -> SpeedAnswer {
    let targets = gw.targets.borrow();
    gw.speeds.handle_call(call, &targets, gw.time())
}
