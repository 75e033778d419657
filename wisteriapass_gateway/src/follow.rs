//! Following the configuration and the targets.

use tokio::time::sleep;

use crate::metrics::{StoreCall, StoreOutcome};
use crate::platform::{Change, Feed, StoreError, Topic, Watch};
use crate::prelude::*;

/// Time that one watch waits, in milliseconds: a connection that went silent is noticed soon
/// after, within the time in which a change has to be in force.
const WAIT_MS: u64 = 1_800;

/// Pause between two watches of the targets, in milliseconds: their entries change all the time,
/// and one answer then carries many changes.
const TARGETS_PAUSE_MS: u64 = 600;

/// Pause after a call without answer, in milliseconds.
const FAILED_PAUSE_MS: u64 = 100;

/// Bytes of changes of targets that are no matter on any link: 50 ms at 10 Mbit/s.
const SMALL: usize = 64 << 10;

/// Follows a topic for ever.
pub async fn follow(gw: Rc<Gateway>, topic: Topic) {
    loop {
        let read = gw.platform.read(topic).await;
        count(&gw, StoreCall::Read, &read);
        match read {
            Ok(feed) => {
                gw.touch.answered(Instant::now());
                take_all(&gw, topic, &feed);
                watch_from(&gw, topic, first_watch(topic, &feed)).await;
            }
            Err(e) => note_failure(&gw, topic, e).await,
        }
    }
}

/// Returns the watch that goes on from a whole state.
///
/// Behind a cut, or while a document takes its time, a history grows that is longer than the state
/// that it leads to; then that is read alone. Else a link that carries a document in 1.9 s takes
/// 18 s to come to the newest of nine (bytes moved over a link with a pace).
fn first_watch(topic: Topic, state: &Feed) -> Watch {
    let state_and_half = state.bytes + state.bytes / 2;
    Watch {
        after: state.at,
        wait: Duration::from_millis(WAIT_MS),
        largest: match topic {
            Topic::Configuration => state_and_half,
            Topic::Targets => SMALL.max(state_and_half),
        },
    }
}

/// Follows changes until the whole state has to be read again.
async fn watch_from(gw: &Gateway, topic: Topic, mut watch: Watch) {
    loop {
        let watched = gw.platform.watch(topic, watch).await;
        count(gw, watch_of(topic), &watched);
        match watched {
            Ok(feed) => {
                gw.touch.answered(Instant::now());
                // An empty answer may come from a service that hears nothing just now; going on
                // from the last change seen misses none.
                if !feed.changes.is_empty() {
                    watch.after = feed.at;
                }
                watch.wait = Duration::from_millis(WAIT_MS);
                take(gw, &feed);
            }
            Err(StoreError::Compacted | StoreError::TooLarge) => return,
            Err(e) => {
                note_failure(gw, topic, e).await;
                // A call that waits for nothing ends soon, so that the end of a cut is noticed; it
                // moves no document that is in force already, as reading the state would: three
                // resets moved three of 0.57 MB (bytes of a link in a test), and none so.
                watch.wait = Duration::ZERO;
            }
        }
        if topic == Topic::Targets {
            sleep(Duration::from_millis(TARGETS_PAUSE_MS)).await;
        }
    }
}

fn count(gw: &Gateway, call: StoreCall, result: &Result<Feed, StoreError>) {
    let outcome = match result {
        Ok(_) => StoreOutcome::Answered,
        Err(e) => StoreOutcome::of(e),
    };
    gw.metrics.called_store(call, outcome);
}

fn watch_of(topic: Topic) -> StoreCall {
    match topic {
        Topic::Configuration => StoreCall::WatchConfiguration,
        Topic::Targets => StoreCall::WatchTargets,
    }
}

async fn note_failure(gw: &Gateway, topic: Topic, e: StoreError) {
    gw.touch.failed();
    log::debug!(target: "store", "Not followed. topic={topic} cause={e:?}");
    sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
}

fn take_all(gw: &Gateway, topic: Topic, feed: &Feed) {
    if topic == Topic::Targets {
        let regained = gw.touch.regained();
        let mut targets = gw.targets.borrow_mut();
        targets.replace(&feed.changes, Instant::now(), regained);
        gw.set_knows_targets();
    }
    take(gw, feed);
}

fn take(gw: &Gateway, feed: &Feed) {
    let now = Instant::now();
    for change in &feed.changes {
        match change {
            Change::Configuration(catalogue) => gw.set_catalogue(catalogue.clone()),
            _ => {
                let regained = gw.touch.regained();
                gw.targets.borrow_mut().apply(change, now, regained);
            }
        }
    }
    gw.targets.borrow_mut().sweep(now);
}
