//! Records what targets state about themselves in their responses.

use wisteriapass_policy::Time;
use wisteriapass_policy::target_limit::TargetLimit;

use crate::prelude::*;
use crate::target::{NamedLimit, Target, TargetKey};

impl Gateway {
    /// Records what a target states in a response, so that [`Self::exclusion`] takes it into
    /// account. `is_own` if the response is to the request that the target was sent: an additional
    /// or garbled one must not take a target out of service.
    pub(crate) fn record_statements(
        &self,
        key: TargetKey,
        status: StatusCode,
        metadata: &ResponseMetadata,
        is_own: bool,
    ) {
        let targets = self.targets.borrow();
        let Some(target) = targets.get(key) else {
            return;
        };
        let statements = &metadata.statements;
        if let Some(cold_ms) = statements.cold_ms {
            target.set_cold(cold_ms, Instant::now());
        }
        let ends_limit = is_own && (metadata.is_signed || metadata.not_run);
        if statements.limit_per_s.is_some() || ends_limit {
            self.set_limit(target, statements.limit_per_s, self.time());
        }
        if statements.is_leaving && is_own {
            target.set_leaving();
        }
        let asked_ms = statements.retry_after_ms.filter(|_| is_own);
        if let Some(asked_ms) = asked_ms.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
            target.set_resting(asked_ms, Instant::now());
        }
    }

    /// Sets the limit that a target named to this router at `named_at`, or that it names none any
    /// more.
    pub(crate) fn set_limit(&self, target: &Target, per_s: Option<f64>, named_at: Time) {
        let limit = per_s.map(|per_s| TargetLimit::new(per_s, named_at));
        let before = target
            .limit
            .replace(limit.map(|limit| NamedLimit { limit, named_at }));
        if before.map(|named| named.limit.per_s()) == per_s {
            return;
        }
        let relays = self.ledger.relay_hashes();
        let quota = limit.and_then(|limit| limit.quota(self.sender(target, &relays)));
        log::info!(
            target: "targets",
            "Limit of a target. target={} per_s={per_s:?} quota={quota:?} relays={}",
            target.entry.id,
            relays.len()
        );
    }
}
