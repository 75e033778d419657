//! Speeds of targets as this router knows them.

use std::cell::{Ref, RefMut};
use std::collections::HashMap;

use wisteriapass_coord::prepaid::HolderId;
use wisteriapass_policy::Time;
use wisteriapass_policy::target_speed::{
    FirstEvent, OutputPause, SLOW_FACTOR, ServiceModel, SpeedReport, TargetSpeed,
};

use super::messages::{SpeedAnswer, SpeedCall, SpeedEntry, limit_size};
use super::sender_clock::SenderClock;
use crate::prelude::*;
use crate::target::Target;
use crate::targets::Targets;

/// Lasting factor below which a target that was logged as slow no longer is.
const RECOVERED_FACTOR: f64 = 1.3;

/// Time after its last message for which a router is remembered, in milliseconds: longer than a
/// message may be late.
const MEMORY_MS: u64 = 60_000;

/// Whether the first event of an answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstEventSample {
    /// It arrived.
    Arrived,
    /// It did not until now.
    Missing,
}

/// What another router reported last.
#[derive(Debug)]
struct RouterReport {
    /// When it was sent, by the clock of this router.
    sent_at: Time,
    /// Known if the router calls this one.
    clock: Option<SenderClock>,
    is_relay: bool,
    entries: Vec<SpeedEntry>,
}

/// Speeds of targets: the usual times of each service, and the reports of other routers. What this
/// router observed of a target is kept in [`Target`].
#[derive(Debug, Default)]
pub struct SharedSpeeds {
    models: RefCell<HashMap<String, ServiceModel>>,
    reports: RefCell<HashMap<HolderId, RouterReport>>,
}

impl SharedSpeeds {
    /// Returns the usual times of a service, with a recent median over its targets.
    pub fn model(&self, service: &str, targets: &Targets, now: Time) -> Ref<'_, ServiceModel> {
        self.update_median(service, targets, now);
        Ref::map(self.models.borrow(), |models| &models[service])
    }

    /// Returns a copy of what [`Self::model`] would return now, without updating the model.
    pub fn model_copy(&self, service: &str, targets: &Targets, now: Time) -> ServiceModel {
        let known = self.models.borrow().get(service).cloned();
        let mut model = known.unwrap_or_default();
        refresh_median(&mut model, service, targets, now);
        model
    }

    /// Records the time to a first event.
    pub fn record_first_event(
        &self,
        service: &str,
        speed: &mut TargetSpeed,
        now: Time,
        event: FirstEvent,
        sample: FirstEventSample,
    ) {
        let model = &mut self.model_mut(service);
        match sample {
            FirstEventSample::Arrived => speed.record_first_event(model, now, event),
            FirstEventSample::Missing => speed.record_missing_event(model, now, event),
        }
    }

    /// Records a pause of a stream.
    pub fn record_pause(
        &self,
        service: &str,
        speed: &mut TargetSpeed,
        now: Time,
        pause: OutputPause,
    ) {
        speed.record_pause(&mut self.model_mut(service), now, pause);
    }

    /// Returns what this router tells others: its own observations, and as a relay also those of its
    /// followers.
    pub fn own_entries(&self, targets: &Targets, now: Time) -> Vec<SpeedEntry> {
        self.entries(targets, now, |_, report| !report.is_relay)
    }

    /// Handles another router's call.
    pub fn handle_call(&self, call: &SpeedCall, targets: &Targets, now: Time) -> SpeedAnswer {
        self.record_call(call, now);
        let entries = self.entries(targets, now, |router, report| {
            let is_passed_on = !call.is_relay || !report.is_relay;
            *router != call.router && is_passed_on
        });
        SpeedAnswer { entries }
    }

    /// Records a relay's answer, which is as old as the call. A follower goes by the answers of one
    /// relay at a time, as all of them pass on the same observations.
    pub fn record_answer(
        &self,
        relay: &HolderId,
        answer: SpeedAnswer,
        called_at: Time,
        is_follower: bool,
    ) {
        let mut reports = self.reports.borrow_mut();
        if is_follower {
            reports.retain(|router, report| router == relay || !report.is_relay);
        }
        let known = reports.get(relay);
        if known.is_some_and(|known| known.sent_at > called_at) {
            return;
        }
        let report = RouterReport {
            sent_at: called_at,
            clock: known.and_then(|known| known.clock),
            is_relay: true,
            entries: answer.entries,
        };
        reports.insert(relay.clone(), report);
    }

    /// Applies what other routers reported to the targets, and logs which ones are slow.
    pub fn update_targets(&self, targets: &Targets, now: Time) {
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, report| now.millis_since(report.sent_at) < MEMORY_MS);
        drop(reports);
        for target in targets.iter() {
            let merged = SpeedReport::merge(self.reported(target, now, |_, _| true));
            target.speed.borrow_mut().set_reported(now, merged);
            self.update_median(&target.entry.service, targets, now);
            self.log_slowness(target, now);
        }
    }

    /// Returns a target's lasting factor.
    pub fn lasting(&self, target: &Target, now: Time) -> f64 {
        let models = self.models.borrow();
        let model = models.get(&target.entry.service);
        model.map_or(1.0, |model| target.speed.borrow().lasting(model, now))
    }

    fn record_call(&self, call: &SpeedCall, now: Time) {
        let now_ms = now.0 / 1_000;
        let mut reports = self.reports.borrow_mut();
        let known = reports.get(&call.router);
        let (clock, late_ms) = match known.and_then(|known| known.clock) {
            Some(clock) => clock.with_message(call.process, call.sent_ms, now_ms),
            None => (SenderClock::new(call.process, call.sent_ms, now_ms), 0),
        };
        let sent_at = Time::from_millis(now_ms.saturating_sub(late_ms));
        // Calls may overtake each other.
        if known.is_some_and(|known| known.sent_at > sent_at) {
            return;
        }
        let report = RouterReport {
            sent_at,
            clock: Some(clock),
            is_relay: call.is_relay,
            entries: call.entries.clone(),
        };
        reports.insert(call.router.clone(), report);
    }

    /// Returns the significant observations of this router and of some others, the most significant
    /// ones first.
    fn entries(
        &self,
        targets: &Targets,
        now: Time,
        includes: impl Fn(&HolderId, &RouterReport) -> bool,
    ) -> Vec<SpeedEntry> {
        let models = self.models.borrow();
        let mut merged: Vec<(f64, SpeedEntry)> = Vec::new();
        for target in targets.iter() {
            let model = models.get(&target.entry.service);
            let own = model.map(|model| target.speed.borrow().report(model, now));
            let reports = self.reported(target, now, &includes).into_iter().chain(own);
            let report = SpeedReport::merge(reports).filter(SpeedReport::is_significant);
            let entry = report.map(|r| (r.significance(), SpeedEntry::new(target, &r)));
            merged.extend(entry);
        }
        merged.sort_by(|a, b| b.0.total_cmp(&a.0));
        limit_size(merged.into_iter().map(|(_, entry)| entry))
    }

    /// Returns what some other routers reported of a target.
    fn reported(
        &self,
        target: &Target,
        now: Time,
        includes: impl Fn(&HolderId, &RouterReport) -> bool,
    ) -> Vec<SpeedReport> {
        let reports = self.reports.borrow();
        let included = reports.iter().filter(|(router, r)| includes(router, r));
        let of_target = included.filter_map(|(_, report)| {
            let entry = report.entries.iter().find(|entry| entry.is_of(target))?;
            Some(entry.report_after(now.millis_since(report.sent_at)))
        });
        of_target.collect()
    }

    fn model_mut(&self, service: &str) -> RefMut<'_, ServiceModel> {
        let mut models = self.models.borrow_mut();
        if !models.contains_key(service) {
            models.insert(service.to_owned(), ServiceModel::default());
        }
        RefMut::map(models, |models| {
            models.entry(service.to_owned()).or_default()
        })
    }

    fn update_median(&self, service: &str, targets: &Targets, now: Time) {
        refresh_median(&mut self.model_mut(service), service, targets, now);
    }

    fn log_slowness(&self, target: &Target, now: Time) {
        let factor = self.lasting(target, now);
        let was_slow = target.is_slow.get();
        let id = &target.entry.id;
        if !was_slow && factor >= SLOW_FACTOR {
            target.is_slow.set(true);
            log::info!(target: "targets", "Target is slow. target={id} factor={factor:.2}");
        }
        if was_slow && factor < RECOVERED_FACTOR {
            target.is_slow.set(false);
            log::info!(target: "targets", "Target no longer slow. target={id} factor={factor:.2}");
        }
    }
}

/// Computes the median slowness of a service's targets, if it is due.
fn refresh_median(model: &mut ServiceModel, service: &str, targets: &Targets, now: Time) {
    if !model.is_median_due(now) {
        return;
    }
    let of_service = targets.of_service(service);
    let speeds: Vec<TargetSpeed> = of_service.iter().map(|(_, t)| *t.speed.borrow()).collect();
    model.update_median(now, speeds.iter());
}
