//! Streams that go on at another target.

use super::attempt::ProxiedRequest;
use super::history::AttemptHistory;
use crate::target::TargetKey;

impl ProxiedRequest {
    /// Logs that a stream that has events goes on at a target.
    pub(super) fn log_resumption(
        &self,
        key: TargetKey,
        history: &AttemptHistory,
        last_event: Option<u64>,
    ) {
        let last_event = last_event.or(self.metadata.last_event);
        if last_event.is_none() && self.metadata.resumes.is_none() {
            return;
        }
        let targets = self.gw.targets.borrow();
        let Some(target) = targets.get(key) else {
            return;
        };
        log::info!(
            target: "exchange",
            "Stream goes on. request={} resumes={} last_event={last_event:?} target={} version={} \
             sent_before={}",
            self.metadata.id_text(),
            self.metadata.resumes_text(),
            target.entry.id,
            target.entry.version,
            history.sent
        );
    }
}
