//! Memory that runs short.

use wisteriapass_policy::memory_account::Purpose;

use crate::prelude::*;

/// Minimum time between two log lines, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

impl Gateway {
    /// Counts and logs that there was no memory for a purpose.
    pub(crate) fn record_memory_short(&self, purpose: Purpose) {
        let account = self.memory.account();
        self.metrics.count_memory_short(purpose);
        let logged_at = self.memory_logged_at.get();
        let interval = Duration::from_millis(LOG_INTERVAL_MS);
        if logged_at.is_some_and(|at| at.elapsed() < interval) {
            return;
        }
        self.memory_logged_at.set(Some(Instant::now()));
        log::warn!(
            target: "load",
            "Memory short. purpose={purpose} connection={} peer={} request={} body={} answer={}",
            account.held(Purpose::Connection),
            account.held(Purpose::Peer),
            account.held(Purpose::Request),
            account.held(Purpose::Body),
            account.held(Purpose::Answer)
        );
    }
}
