//! Timeouts for the answers of peers.

use std::future::Future;
use std::pin::pin;

use tokio::time::timeout_at;
use wisteriapass_policy::loop_delay::additional_wait_ms;

use crate::prelude::*;
use crate::rpc::deadline_in;

thread_local! {
    /// Recent delay of the event loop of this thread, in milliseconds.
    static LOOP_DELAY_MS: Cell<u64> = const { Cell::new(0) };
}

/// Sets the recent delay of the event loop, in milliseconds.
pub fn set_loop_delay(delay_ms: u64) {
    LOOP_DELAY_MS.set(delay_ms);
}

/// Runs a future until a deadline; returns `None` if it is not complete by then.
///
/// While timers fire late, this router is short of processor time, and the future gets additional
/// time. Otherwise a router under load would take its own delay for the silence of its peers.
pub async fn answer_by<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    let mut due = deadline.max(Instant::now());
    let mut waited_ms = 0;
    loop {
        if let Ok(done) = timeout_at(due, &mut work).await {
            return Some(done);
        }
        // A single timer may fire on time between two long turns of the event loop.
        let timer_delay_ms = due.elapsed().as_millis() as u64;
        let delay_ms = timer_delay_ms.max(LOOP_DELAY_MS.get());
        let wait_ms = additional_wait_ms(delay_ms, waited_ms);
        if wait_ms == 0 {
            return None;
        }
        waited_ms += wait_ms;
        due = deadline_in(wait_ms);
    }
}
