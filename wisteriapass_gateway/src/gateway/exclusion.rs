//! The list of reasons for which a target gets no request now.

use derive_more::Display;
use wisteriapass_coord::origin::Software;
use wisteriapass_policy::cold_start::{self, SendQuota, is_owner};
use wisteriapass_policy::placement::hash_name;
use wisteriapass_policy::target_limit::Sender;

use crate::catalogue::ColdStart;
use crate::prelude::*;
use crate::target::{Target, TargetKey};
use crate::targets::Targets;

/// Why a target gets no request now. Later reasons are checked only if no earlier one applies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exclusion {
    /// It leaves, by its own statement or its entry, or its entry does not permit requests, or its
    /// failure domain is evacuated.
    #[display("closed")]
    Closed,
    /// It runs other software than the target that began the stream.
    #[display("other_version")]
    OtherVersion,
    /// It asked for no requests until then.
    #[display("resting")]
    Resting(Instant),
    /// It is cold and gets no more requests from this router for now.
    #[display("cold")]
    Cold,
    /// It names a limit and gets no more requests from this router for now.
    #[display("limited")]
    Limited,
}

/// What a request requires of its target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirements<'a> {
    /// Load limit of the service's cold targets.
    pub cold: Option<ColdStart>,
    /// Software that began the stream, if the request resumes one.
    pub origin: Option<&'a Software>,
}

impl Gateway {
    /// Returns whether a request may be sent to a target now.
    pub(crate) fn may_send(&self, key: TargetKey, requirements: Requirements<'_>) -> bool {
        let targets = self.targets.borrow();
        let target = targets.get(key);
        let now = Instant::now();
        target.is_some_and(|t| self.exclusion(&targets, t, requirements, now).is_none())
    }

    /// Returns why a target gets no request now, if so. Both the selection of a target and the check
    /// before a request is sent go by this.
    pub(crate) fn exclusion(
        &self,
        targets: &Targets,
        target: &Target,
        requirements: Requirements<'_>,
        now: Instant,
    ) -> Option<Exclusion> {
        if !targets.accepts_requests(target, now) {
            return Some(Exclusion::Closed);
        }
        if requirements
            .origin
            .is_some_and(|origin| !target.runs(origin))
        {
            return Some(Exclusion::OtherVersion);
        }
        let resting_until = target.resting_until();
        if now < resting_until {
            return Some(Exclusion::Resting(resting_until));
        }
        if !self.within_cold_limit(target, requirements.cold, now) {
            return Some(Exclusion::Cold);
        }
        if !self.within_named_limit(target) {
            return Some(Exclusion::Limited);
        }
        None
    }

    /// Returns whether this router may send a target one more request under the limit for cold
    /// targets. The limit is divided among few routers, which alone send to a cold target.
    fn within_cold_limit(&self, target: &Target, cold: Option<ColdStart>, now: Instant) -> bool {
        let Some(cold) = cold.filter(|cold| target.is_cold(cold.start_ms, now)) else {
            return true;
        };
        let bounds = &self.settings.bounds;
        let per_s = cold.per_1000_s as f64 / 1_000.0;
        let most_per_s = per_s * bounds.cold_overshoot + bounds.cold_slack;
        let relays = self.ledger.relay_hashes();
        let quota = SendQuota::new(most_per_s, relays.len());
        let me = hash_name(&self.settings.name);
        let target_hash = hash_name(&target.entry.id.0);
        let may_send =
            target
                .send_log
                .borrow()
                .may_send(self.time(), cold_start::WINDOW_MS, quota.per_owner);
        may_send && is_owner(target_hash, me, &relays, quota.owners)
    }

    /// Returns whether this router may send a target one more request under the limit that the
    /// target names.
    fn within_named_limit(&self, target: &Target) -> bool {
        let Some(named) = target.limit.get() else {
            return true;
        };
        let relays = self.ledger.relay_hashes();
        let log = target.send_log.borrow();
        named
            .limit
            .may_send(self.time(), &log, self.sender(target, &relays))
    }

    /// Returns this router as a sender to a target.
    pub(super) fn sender<'a>(&self, target: &Target, relays: &'a [u64]) -> Sender<'a> {
        Sender {
            target: hash_name(&target.entry.id.0),
            own_hash: hash_name(&self.settings.name),
            relays,
        }
    }
}
