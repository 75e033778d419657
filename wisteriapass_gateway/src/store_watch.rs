//! Following the configuration and the targets.

use tokio::time::sleep;

use crate::change_log::Cursor;
use crate::metrics::{StoreCall, StoreOutcome};
use crate::platform::{Change, ChangeBatch, StoreError, Topic, WatchRequest};
use crate::prelude::*;

/// Time that a watch of the configuration waits, in milliseconds: a connection that went silent is
/// noticed soon after, within the time in which a change has to be in force.
const CONFIGURATION_WAIT_MS: u64 = 1_800;

/// Time that a watch of the targets waits, in milliseconds: by its answers followers know that the
/// service is in touch, also where few entries change.
const TARGETS_WAIT_MS: u64 = 300;

/// Pause between two watches of the targets, in milliseconds: their entries change all the time,
/// and one answer then carries many changes.
const TARGETS_PAUSE_MS: u64 = 600;

/// Pause after a call without answer, in milliseconds.
const FAILED_PAUSE_MS: u64 = 100;

/// Bytes of changes of targets that are no matter on any link: 50 ms at 10 Mbit/s.
const MIN_TARGETS_ANSWER_BYTES: usize = 64 << 10;

/// Follows a topic for ever, from where a relay or this router itself left off.
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
                gw.store_liveness.record_topic_answer(topic, Instant::now());
                let cursor = batch.cursor(batch.bytes);
                apply_batch(&gw, topic, &batch, cursor, true);
                watch_from(&gw, topic, first_watch(topic, cursor)).await;
            }
            Err(e) => handle_failure(&gw, topic, e).await,
        }
    }
}

/// Takes in once what changed behind what is known.
pub async fn catch_up(gw: &Gateway, topic: Topic) {
    let mut cursor = gw.cursor(topic);
    let mut watch = first_watch(topic, cursor);
    watch.max_wait = Duration::ZERO;
    let watched = gw.platform.watch(topic, watch).await;
    count_call(gw, store_call(topic), &watched);
    let is_whole = matches!(watched, Err(StoreError::Compacted | StoreError::TooLarge));
    let result = if is_whole {
        let read = gw.platform.read(topic).await;
        count_call(gw, StoreCall::Read, &read);
        read
    } else {
        watched
    };
    let Ok(batch) = result else {
        return;
    };
    gw.store_liveness.record_topic_answer(topic, Instant::now());
    if is_whole {
        cursor = batch.cursor(batch.bytes);
    } else if !batch.changes.is_empty() {
        cursor.revision = batch.at;
    }
    apply_batch(gw, topic, &batch, cursor, is_whole);
}

/// Returns the watch that goes on from a whole state.
///
/// Behind a cut, or while a document takes its time, a history grows that is longer than the state
/// that it leads to; then that is read alone, or a slow link comes to the newest of some versions by
/// all of them.
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

/// Returns how long a watch waits for a change.
fn longest_wait(topic: Topic) -> Duration {
    Duration::from_millis(match topic {
        Topic::Configuration => CONFIGURATION_WAIT_MS,
        Topic::Targets => TARGETS_WAIT_MS,
    })
}

/// Follows changes until the whole state has to be read again.
async fn watch_from(gw: &Gateway, topic: Topic, mut watch: WatchRequest) {
    loop {
        let watched = gw.platform.watch(topic, watch).await;
        count_call(gw, store_call(topic), &watched);
        match watched {
            Ok(batch) => {
                gw.store_liveness.record_topic_answer(topic, Instant::now());
                // An empty answer may come from a service that hears nothing just now; going on
                // from the last change seen misses none.
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
                // A call that waits for nothing ends soon, so that the end of a cut is noticed; it
                // moves no document that is in force already, as reading the state would.
                watch.max_wait = Duration::ZERO;
            }
        }
        if topic == Topic::Targets {
            sleep(Duration::from_millis(TARGETS_PAUSE_MS)).await;
        }
    }
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
    log::debug!(target: "store", "Not followed. topic={topic} cause={e:?}");
    sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
}

/// Takes changes of a topic in, and up to where they lead.
fn apply_batch(gw: &Gateway, topic: Topic, batch: &ChangeBatch, cursor: Cursor, is_whole: bool) {
    match topic {
        Topic::Configuration => {
            for revised in &batch.changes {
                if let Change::Configuration(catalogue) = &revised.change {
                    gw.set_catalogue(catalogue.clone());
                }
            }
            gw.configuration_log.borrow_mut().advance_cursor(cursor);
            let known = gw.evacuations.borrow();
            let next = known.with_changes(cursor.revision, &batch.changes, is_whole);
            drop(known);
            gw.set_evacuations(next);
        }
        Topic::Targets => gw.apply_target_changes(cursor, &batch.changes, is_whole),
    }
}
