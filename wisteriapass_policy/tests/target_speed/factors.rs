//! What moves a factor: samples, their load, reports of others and their age.

use wisteriapass_policy::Time;
use wisteriapass_policy::target_speed::{
    FirstEvent, OutputPause, ServiceModel, SpeedReport, TargetSpeed,
};

/// Targets of the service; the first one is examined.
const TARGETS: usize = 6;

/// Observations of one router.
#[derive(Default)]
struct Router {
    model: ServiceModel,
    speeds: [TargetSpeed; TARGETS],
    now: Time,
}

impl Router {
    /// Observes a target for a time: requests with different prompts, behind `pending` prompt tokens
    /// of this router, and events of streams.
    fn observe(&mut self, target: usize, ms: u64, slowness: f64, pending: u64) {
        for step in 0..ms / 50 {
            self.now = self.now.plus_millis(50);
            let tokens_ahead = pending + 500 + step % 7 * 700;
            let event = FirstEvent {
                tokens_ahead,
                running: 2,
                ms: (20.0 + tokens_ahead as f64 / 125.0) * slowness,
            };
            let pause = OutputPause {
                pending_tokens: pending,
                running: 2,
                tokens: 8,
                ms: 50.0 * slowness,
            };
            let speed = &mut self.speeds[target];
            speed.record_first_event(&mut self.model, self.now, event);
            speed.record_pause(&mut self.model, self.now, pause);
            self.model.update_median(self.now, self.speeds.iter());
        }
    }

    /// Observes all targets as equally fast.
    fn with_usual_samples() -> Self {
        let mut router = Self::default();
        for _ in 0..6 {
            (0..TARGETS).for_each(|t| router.observe(t, 350, 1.0, 0));
        }
        router
    }

    fn lasting(&self) -> f64 {
        self.speeds[0].lasting(&self.model, self.now)
    }

    fn current(&self) -> f64 {
        self.speeds[0].current(&self.model, self.now)
    }
}

fn report(factor: f64, weight: f64, age_ms: u64) -> SpeedReport {
    SpeedReport {
        lasting: factor,
        lasting_weight: weight,
        recent: factor,
        recent_weight: weight,
        age_ms,
    }
}

// Guards against pauses that show a slow target only when its spell is over.
#[test]
fn two_slow_pauses_show_and_normal_ones_end_it() {
    let mut router = Router::with_usual_samples();
    assert_eq!(router.current(), 1.0);
    router.observe(0, 100, 2.5, 0);
    assert!(router.current() > 1.3, "{}", router.current());
    assert_eq!(router.lasting(), 1.0);
    router.observe(0, 300, 1.0, 0);
    assert_eq!(router.current(), 1.0);
}

// Guards against taking prompts that wait at a target for slowness.
#[test]
fn a_loaded_target_is_not_slow() {
    let mut router = Router::with_usual_samples();
    for _ in 0..10 {
        router.observe(0, 350, 1.0, 12_000);
        (1..TARGETS).for_each(|t| router.observe(t, 350, 1.0, 0));
    }
    assert_eq!((router.lasting(), router.current()), (1.0, 1.0));
}

// Guards against one late first event, for which there are many causes, making a target slow.
#[test]
fn an_outlier_moves_no_lasting_factor() {
    let mut router = Router::with_usual_samples();
    let event = FirstEvent {
        tokens_ahead: 500,
        running: 2,
        ms: 5_000.0,
    };
    router.speeds[0].record_first_event(&mut router.model, router.now, event);
    assert_eq!(router.lasting(), 1.0);
}

// Guards against a target that is avoided after its restart for what its predecessor was.
#[test]
fn a_new_incarnation_starts_without_slowness() {
    let mut router = Router::with_usual_samples();
    for _ in 0..20 {
        router.observe(0, 350, 2.5, 0);
        (1..TARGETS).for_each(|t| router.observe(t, 350, 1.0, 0));
    }
    assert!(router.lasting() > 1.5, "{}", router.lasting());
    let expected = |r: &Router| {
        let speed = &r.speeds[0];
        speed.expected_first_event_ms(&r.model, r.now, 5_000, 2_000, 2)
    };
    let before = expected(&router);
    router.speeds[0] = TargetSpeed::default();
    assert_eq!((router.lasting(), router.current()), (1.0, 1.0));
    assert!(expected(&router) < before);
    router.observe(0, 350, 1.0, 0);
    assert_eq!(router.current(), 1.0);
}

// Guards against reports that hold after what they say has ended.
#[test]
fn a_report_counts_by_its_age_and_not_at_all_after_two_seconds() {
    let mut router = Router::with_usual_samples();
    router.speeds[0] = TargetSpeed::default();
    let now = router.now;
    router.speeds[0].set_reported(now, Some(report(2.5, 20.0, 300)));
    let (lasting, current) = (router.lasting(), router.current());
    assert!(lasting > 1.5 && current > lasting, "{lasting} {current}");
    router.now = now.plus_millis(1_600);
    assert!(router.current() < current);
    router.now = now.plus_millis(1_701);
    assert_eq!((router.lasting(), router.current()), (1.0, 1.0));
}

#[test]
fn reports_are_merged_by_weight_and_invalid_ones_ignored() {
    let merge = |reports: &[SpeedReport]| SpeedReport::merge(reports.iter().copied());
    let merged = merge(&[report(2.0, 30.0, 0), report(1.0, 10.0, 0)]).unwrap();
    assert!(1.6 < merged.lasting && merged.lasting < 1.8, "{merged:?}");
    assert_eq!(merged.lasting_weight, 40.0);
    assert_eq!(
        merge(&[report(f64::NAN, 1.0, 0), report(2.0, 9.0, 2_001)]),
        None
    );
    let bounded = merge(&[report(1e9, 1e9, 0)]).unwrap();
    assert!(bounded.lasting <= 6.01 && bounded.lasting_weight <= 200.0);
    // What was passed on by a relay weighs no less than what came directly.
    let direct = report(2.0, 16.0, 500);
    let passed_on = merge(&[direct]).unwrap();
    assert!((passed_on.recent_weight - direct.recent_weight).abs() < 0.01);
}
