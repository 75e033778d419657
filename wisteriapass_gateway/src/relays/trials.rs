//! Trials of suspects, which one relay grants for all routers.
//!
//! All routers agree on an order of the relays for each fingerprint, and ask the first one that
//! answers. It grants one trial at a time.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::task::spawn_local;
use tokio::time::sleep_until;
use wisteriapass_coord::quarantine::{Admission, Fingerprint, TrialEnd};
use wisteriapass_coord::relay::RelayInfo;
use wisteriapass_policy::placement::hash_name;
use wisteriapass_policy::rendezvous::rank;

use super::known::known_relays;
use crate::prelude::*;
use crate::quarantine::{EndedTrial, TrialGuard};
use crate::rpc::deadline_in;

/// Path of a call about a trial.
pub const TRIAL_PATH: &str = "/relay/trial";

/// Time within which a relay has to answer before the next one is asked, in milliseconds: many round
/// trips within a region.
const ANSWER_TIMEOUT_MS: u64 = 100;

/// Number of relays that are asked: the first one may have died, and its record not yet ended.
const MAX_ASKED: usize = 2;

/// Number of times that a relay is told of the end of a trial until it answers.
const MAX_END_CALLS: u32 = 3;

/// A call about a trial.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum TrialCall {
    /// Asks for a trial.
    Begin {
        /// Fingerprint of the suspect.
        fingerprint: Fingerprint,
        /// Id of the copy, the same if the call is repeated.
        id: u64,
        /// Time until its deadline, in milliseconds.
        remaining_ms: u64,
    },
    /// Gives a trial back.
    End {
        /// Fingerprint of the suspect.
        fingerprint: Fingerprint,
        /// Id of the copy.
        id: u64,
        /// How it ended.
        end: TrialEnd,
    },
}

/// Asks for a trial of a suspect; returns `None` if it is refused.
///
/// If no relay answers, this router's own table decides: each router then has at most one copy in
/// flight.
pub async fn begin_trial(
    gw: &Rc<Gateway>,
    fingerprint: Fingerprint,
    deadline: Instant,
) -> Option<TrialGuard> {
    let id = rand::random();
    let remaining = deadline.saturating_duration_since(Instant::now());
    let remaining_ms = remaining.as_millis() as u64;
    if gw.trials.begin(fingerprint, id, remaining_ms) == Admission::Refused {
        return None;
    }
    let mut guard = TrialGuard::new(gw.clone(), fingerprint, id);
    let call = TrialCall::Begin {
        fingerprint,
        id,
        remaining_ms,
    };
    let me = gw.ledger.id();
    for granter in granters(gw, &fingerprint) {
        if granter.id == me {
            return Some(guard);
        }
        guard.record_asked(granter.address);
        let until = deadline.min(deadline_in(ANSWER_TIMEOUT_MS));
        let answer = gw.rpc.call(granter.address, TRIAL_PATH, &call, until).await;
        match answer {
            Some(Admission::Granted) => return Some(guard),
            Some(Admission::Refused) => {
                guard.refuse();
                return None;
            }
            None => {}
        }
    }
    log::info!(
        target: "quarantine",
        "No relay grants trials. fingerprint={fingerprint} asked={}",
        guard.asked()
    );
    Some(guard)
}

/// Answers a call of another router.
pub fn answer_call(gw: &Gateway, call: &TrialCall) -> Admission {
    match *call {
        TrialCall::Begin {
            fingerprint,
            id,
            remaining_ms,
        } => {
            // The caller may not know of the ban yet. Otherwise the table of trials alone decides:
            // the caller may know of deaths that this router does not know.
            let verdict = gw.quarantine.verdict_in(&fingerprint, &[]);
            if verdict.banned_until().is_some() {
                return Admission::Refused;
            }
            gw.trials.begin(fingerprint, id, remaining_ms)
        }
        TrialCall::End {
            fingerprint,
            id,
            end,
        } => {
            gw.trials.end(fingerprint, id, end);
            Admission::Granted
        }
    }
}

/// Tells relays of trials that ended; never returns.
pub async fn return_trials(gw: Rc<Gateway>) {
    loop {
        gw.trials.has_ended.notified().await;
        for ended in gw.trials.take_ended() {
            for relay in &ended.asked {
                spawn_local(send_end(gw.clone(), *relay, ended.clone()));
            }
        }
    }
}

/// Tells a relay that a trial ended, repeatedly if it does not answer.
async fn send_end(gw: Rc<Gateway>, relay: SocketAddr, ended: EndedTrial) {
    let call = TrialCall::End {
        fingerprint: ended.fingerprint,
        id: ended.id,
        end: ended.end,
    };
    for _ in 0..MAX_END_CALLS {
        let until = deadline_in(ANSWER_TIMEOUT_MS);
        let answer: Option<Admission> = gw.rpc.call(relay, TRIAL_PATH, &call, until).await;
        if answer.is_some() {
            return;
        }
        sleep_until(until).await;
    }
}

/// Returns the relays that are asked for a trial, in the order of the fingerprint.
fn granters(gw: &Gateway, fingerprint: &Fingerprint) -> SmallVec<[RelayInfo; 8]> {
    let mut relays = known_relays(gw);
    relays.sort_by_cached_key(|r| Reverse(rank(fingerprint.short(), hash_name(&r.id.0))));
    relays.truncate(MAX_ASKED);
    relays
}
