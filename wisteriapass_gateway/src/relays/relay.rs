//! The relay role: watches the key-value store and passes updates on to followers.

use tokio::task::JoinSet;
use tokio::time::sleep;
use wisteriapass_coord::relay::RelayRetirement;

use super::limits;
use super::messages::{UpdateAnswer, UpdateCall};
use super::versions::keep_versions;
use crate::ledger::{KnownRecord, Role, TokenLedger};
use crate::platform::Topic;
use crate::prelude::*;
use crate::store_watch::watch_topic;

/// Interval between checks for surplus relays, in milliseconds.
const POLL_MS: u64 = 500;

/// Longest time that a retiring relay waits for open grants, in milliseconds: slightly longer than
/// requests take.
const RETIRE_TIMEOUT_MS: u64 = 15_000;

/// Answers a follower's update request; `None` until this relay knows the relays, of which it is one.
pub fn answer_update(gw: &Gateway, call: &UpdateCall) -> Option<UpdateAnswer> {
    let relays = gw.ledger.relays();
    if relays.is_empty() {
        return None;
    }
    limits::add_reported(gw, &call.limits);
    let now = Instant::now();
    let targets = gw.targets.borrow();
    let missing = |id: &_| targets.missing_until(id).filter(|until| *until > now);
    let mut log = gw.configuration_log.borrow_mut();
    Some(UpdateAnswer {
        age_ms: gw.store_liveness.staleness_ms(now),
        is_leaving: gw.ledger.role() == Role::Retiring || gw.is_stopping(),
        routers: gw.ledger.router_count() as u32,
        relays: relays.into_iter().map(Into::into).collect(),
        configuration: log.changes_since(call.version),
        configuration_cursor: log.cursor(),
        evacuations: gw.evacuations.borrow().clone(),
        targets: gw
            .target_log
            .borrow()
            .changes_since(call.targets_at, now, missing),
        limits: limits::known_limits(gw),
        quarantine: gw.quarantine.handle_call(&call.quarantine),
    })
}

/// Runs as a relay until there are too many.
pub async fn run_relay(gw: &Rc<Gateway>, known: Vec<KnownRecord>) {
    gw.ledger.set_role(Role::Relay);
    gw.quarantine.changed.notify_one();
    let mut tasks = JoinSet::new();
    TokenLedger::start_relay(gw, &mut tasks, known);
    tasks.spawn_local(watch_topic(gw.clone(), Topic::Configuration));
    tasks.spawn_local(watch_topic(gw.clone(), Topic::Targets));
    tasks.spawn_local(keep_versions(gw.clone()));
    let mut retirement = RelayRetirement::default();
    while !gw.ledger.is_surplus(&mut retirement) || gw.is_stopping() {
        sleep(Duration::from_millis(POLL_MS)).await;
    }
    retire(gw, tasks).await;
}

/// Gives up the relay role: followers switch to other relays, and unused tokens are returned.
async fn retire(gw: &Rc<Gateway>, mut tasks: JoinSet<()>) {
    log::info!(target: "relay", "Retiring. followers={}", gw.ledger.followers());
    gw.ledger.set_role(Role::Retiring);
    gw.ledger.update_roster();
    let until = Instant::now() + Duration::from_millis(RETIRE_TIMEOUT_MS);
    gw.ledger.wait_until_idle(until).await;
    tasks.shutdown().await;
    gw.ledger.return_shares(gw).await;
    gw.ledger.begin_incarnation(&gw.settings);
    gw.ledger.set_role(Role::Follower);
}
