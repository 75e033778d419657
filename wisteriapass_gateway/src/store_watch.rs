//! Watches of the configuration and the targets in the key-value store.

use tokio::time::sleep;

use crate::change_log::Cursor;
use crate::configuration_source::ConfigurationSource;
use crate::metrics::{StoreCall, StoreOutcome};
use crate::platform::{Change, ChangeBatch, StoreError, Topic, WatchRequest};
use crate::prelude::*;

/// Maximum wait of a watch of the configuration, in milliseconds. A connection that went silent is
/// noticed soon afterwards, within the time in which a change has to be in force.
const CONFIGURATION_WAIT_MS: u64 = 1_800;

/// Maximum wait of a watch of the targets, in milliseconds. Its answers show followers that the
/// store is reachable, even where few entries change.
const TARGETS_WAIT_MS: u64 = 300;

/// Pause between two watches of the targets, in milliseconds. Their entries change constantly, and
/// after a pause one answer carries many changes.
const TARGETS_PAUSE_MS: u64 = 600;

/// Maximum number of calls to confirm the list of targets, while other changes of it arrive.
const MAX_CONFIRM_CALLS: usize = 3;

/// Pause after a call without an answer, in milliseconds.
const FAILED_PAUSE_MS: u64 = 100;

/// Minimum limit on the size of target changes, in bytes: 50 ms at 10 Mbit/s, which is
/// insignificant on any link.
const MIN_TARGETS_ANSWER_BYTES: usize = 64 << 10;

/// Watches a topic forever, continuing from the state that a relay or this router itself provided.
pub async fn watch_topic(gw: Rc<Gateway>, topic: Topic) {
    let cursor = gw.cursor(topic);
    if cursor.revision > 0 {
        let mut watch = first_watch(topic, cursor);
        watch.max_wait = Duration::ZERO;
        watch_from(&gw, topic, watch).await;
    }
    loop {
        let read = gw.platform.read(topic).await;
        count_call(&gw, StoreCall::Read, &read);
        match read {
            Ok(batch) => {
                let cursor = apply_snapshot(&gw, topic, &batch);
                watch_from(&gw, topic, first_watch(topic, cursor)).await;
            }
            Err(e) => handle_failure(&gw, topic, e).await,
        }
    }
}

/// Reads and applies the complete state; returns the first watch after it, or `None` if no state as
/// recent as the revision `known` was read.
async fn read_newer_state(gw: &Gateway, topic: Topic, known: u64) -> Option<WatchRequest> {
    let read = gw.platform.read(topic).await;
    count_call(gw, StoreCall::Read, &read);
    // A store node that currently receives no updates may return an earlier state, in which a
    // target that has left since is still ready.
    let batch = read.ok().filter(|batch| batch.at >= known)?;
    Some(first_watch(topic, apply_snapshot(gw, topic, &batch)))
}

/// Outcome of an attempt to catch up with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// The known state is as recent as the beginning of the call.
    Done,
    /// The known state changed meanwhile, and the answer was dropped.
    Overtaken,
    /// The store did not answer.
    Failed,
}

/// Confirms the list of targets with the store; returns whether it is at least as recent as the time
/// `asked_at`, which has passed. Requests that wait at the same time share a call.
pub async fn confirm_targets(gw: &Gateway, asked_at: Instant) -> bool {
    let mut last = gw.last_confirmation.lock().await;
    if let Some((started, is_confirmed)) = *last
        && started >= asked_at
    {
        return is_confirmed;
    }
    let started = Instant::now();
    let mut outcome = CatchUp::Overtaken;
    for _ in 0..MAX_CONFIRM_CALLS {
        outcome = catch_up(gw, Topic::Targets).await;
        if outcome != CatchUp::Overtaken {
            break;
        }
    }
    let is_confirmed = outcome == CatchUp::Done;
    *last = Some((started, is_confirmed));
    is_confirmed
}

/// Fetches and applies the changes since the known state, once.
pub async fn catch_up(gw: &Gateway, topic: Topic) -> CatchUp {
    let known = gw.cursor(topic);
    let mut cursor = known;
    let watched = match cursor.revision {
        // Without a known state, the complete one is needed.
        0 => Err(StoreError::Compacted),
        _ => watch_without_waiting(gw, topic, cursor).await,
    };
    let is_snapshot = matches!(watched, Err(StoreError::Compacted | StoreError::TooLarge));
    let result = if is_snapshot {
        let read = gw.platform.read(topic).await;
        count_call(gw, StoreCall::Read, &read);
        read
    } else {
        watched
    };
    let Ok(batch) = result else {
        return CatchUp::Failed;
    };
    gw.store_liveness.record_topic_answer(topic, Instant::now());
    // A relay may have sent later changes in the meantime, which these would undo.
    if gw.cursor(topic) != known {
        return CatchUp::Overtaken;
    }
    if is_snapshot {
        cursor = batch.cursor(batch.bytes);
    } else if !batch.changes.is_empty() {
        cursor.revision = batch.at;
    }
    apply_batch(gw, topic, &batch, cursor, is_snapshot);
    CatchUp::Done
}

/// Returns the changes since a state that the store has by now.
async fn watch_without_waiting(
    gw: &Gateway,
    topic: Topic,
    state: Cursor,
) -> Result<ChangeBatch, StoreError> {
    let mut watch = first_watch(topic, state);
    watch.max_wait = Duration::ZERO;
    let watched = gw.platform.watch(topic, watch).await;
    count_call(gw, store_call(topic), &watched);
    watched
}

/// Returns the first watch after a complete state.
///
/// After a network partition, or while a large document is being transferred, the history can grow
/// longer than the state that it leads to. The size limit makes the router read just the state in
/// that case; otherwise a slow link would transfer every intermediate version to reach the newest.
fn first_watch(topic: Topic, state: Cursor) -> WatchRequest {
    let state_and_half = state.snapshot_bytes + state.snapshot_bytes / 2;
    WatchRequest {
        after: state.revision,
        max_wait: longest_wait(topic),
        max_bytes: match topic {
            Topic::Configuration => state_and_half,
            Topic::Targets => MIN_TARGETS_ANSWER_BYTES.max(state_and_half),
        },
    }
}

/// Returns the maximum time that a watch waits for a change.
fn longest_wait(topic: Topic) -> Duration {
    Duration::from_millis(match topic {
        Topic::Configuration => CONFIGURATION_WAIT_MS,
        Topic::Targets => TARGETS_WAIT_MS,
    })
}

/// Applies changes until the complete state has to be read again.
async fn watch_from(gw: &Gateway, topic: Topic, mut watch: WatchRequest) {
    loop {
        let watched = gw.platform.watch(topic, watch).await;
        count_call(gw, store_call(topic), &watched);
        match watched {
            Ok(batch) => {
                gw.store_liveness.record_topic_answer(topic, Instant::now());
                // A store node that currently receives no updates may return an empty answer.
                // Continuing from the last change seen misses none.
                if !batch.changes.is_empty() {
                    watch.after = batch.at;
                }
                watch.max_wait = longest_wait(topic);
                let cursor = Cursor {
                    revision: watch.after,
                    snapshot_bytes: gw.cursor(topic).snapshot_bytes,
                };
                apply_batch(gw, topic, &batch, cursor, false);
            }
            Err(StoreError::Compacted | StoreError::TooLarge) => return,
            Err(e) => {
                handle_failure(gw, topic, e).await;
                if is_history_late(topic, &watch, e)
                    && let Some(next) = read_newer_state(gw, topic, watch.after).await
                {
                    watch = next;
                    continue;
                }
                // Another router may have sent what this one missed.
                watch.after = watch.after.max(gw.cursor(topic).revision);
                // A call without a wait returns quickly, so the end of a partition is noticed.
                // Unlike reading the state it does not transfer a document that is already in
                // force.
                watch.max_wait = Duration::ZERO;
            }
        }
        if topic == Topic::Targets {
            sleep(Duration::from_millis(TARGETS_PAUSE_MS)).await;
        }
    }
}

/// Returns whether the store may need too long to compile the changes that a failed watch requested.
///
/// The history grows with each failure, so requesting it again and again may never succeed. The
/// configuration rarely changes, and reading it again would congest slow links after each outage.
fn is_history_late(topic: Topic, watch: &WatchRequest, e: StoreError) -> bool {
    topic == Topic::Targets && watch.max_wait.is_zero() && e == StoreError::NoAnswer
}

fn count_call(gw: &Gateway, call: StoreCall, result: &Result<ChangeBatch, StoreError>) {
    let outcome = match result {
        Ok(_) => StoreOutcome::Answered,
        Err(e) => StoreOutcome::of(e),
    };
    gw.metrics.count_store_call(call, outcome);
}

fn store_call(topic: Topic) -> StoreCall {
    match topic {
        Topic::Configuration => StoreCall::WatchConfiguration,
        Topic::Targets => StoreCall::WatchTargets,
    }
}

async fn handle_failure(gw: &Gateway, topic: Topic, e: StoreError) {
    gw.store_liveness.record_failure();
    log::debug!(target: "store", "Watch failed. topic={topic} cause={e:?}");
    sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
}

/// Applies the complete state of a topic; returns the position from which to watch it.
fn apply_snapshot(gw: &Gateway, topic: Topic, batch: &ChangeBatch) -> Cursor {
    gw.store_liveness.record_topic_answer(topic, Instant::now());
    let cursor = batch.cursor(batch.bytes);
    apply_batch(gw, topic, batch, cursor, true);
    cursor
}

/// Applies the changes of a topic and advances its cursor.
fn apply_batch(gw: &Gateway, topic: Topic, batch: &ChangeBatch, cursor: Cursor, is_snapshot: bool) {
    match topic {
        Topic::Configuration => {
            let source = match is_snapshot {
                true => ConfigurationSource::Read,
                false => ConfigurationSource::Watch,
            };
            for revised in &batch.changes {
                if let Change::Configuration(catalogue) = &revised.change {
                    gw.set_catalogue(catalogue.clone(), &source);
                }
            }
            gw.confirm_configuration(Instant::now());
            gw.configuration_log.borrow_mut().advance_cursor(cursor);
            let known = gw.evacuations.borrow();
            let next = known.with_changes(cursor.revision, &batch.changes, is_snapshot);
            drop(known);
            gw.set_evacuations(next);
        }
        Topic::Targets => gw.apply_target_changes(cursor, &batch.changes, is_snapshot),
    }
}
