//! Measures how late the tasks of this router run.

use tokio::time::sleep_until;

use crate::prelude::*;
use crate::rpc::deadline_in;
use crate::timeout::set_loop_delay;

/// Interval between two measurements, in milliseconds.
const INTERVAL_MS: u64 = 100;

/// Measures forever.
pub async fn measure_loop_delay(gw: Rc<Gateway>) {
    loop {
        let due = deadline_in(INTERVAL_MS);
        sleep_until(due).await;
        record_delay(&gw, due.elapsed());
    }
}

fn record_delay(gw: &Gateway, delay: Duration) {
    gw.metrics.record_loop_delay(delay);
    let mut loop_delay = gw.loop_delay.get();
    if loop_delay.record(delay.as_millis() as u64) {
        let (is_late, delay_ms) = (loop_delay.is_late(), loop_delay.delay_ms());
        log::info!(target: "load", "Event loop. late={is_late} delay_ms={delay_ms}");
    }
    gw.loop_delay.set(loop_delay);
    set_loop_delay(loop_delay.delay_ms());
}
