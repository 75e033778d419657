//! Exchange of the speeds of targets between routers.

use std::time::Duration;

use tokio::time::Instant;
use wisteriapass_coord::prepaid::HolderId;
use wisteriapass_gateway::{
    Change, EventPauses, SharedSpeeds, SpeedAnswer, SpeedCall, TargetEntry, TargetId, Targets,
};
use wisteriapass_policy::Time;
use wisteriapass_policy::target_speed::OutputPause;

const SERVICE: &str = "s";

/// Start time of the targets.
const STARTED_MS: u64 = 7;

/// A router that knows some targets.
struct Router {
    id: HolderId,
    is_relay: bool,
    targets: Targets,
    speeds: SharedSpeeds,
    /// Its clock when the clock of the test is 0, in milliseconds.
    clock_ms: u64,
}

impl Router {
    fn new(name: &str, is_relay: bool, targets: usize) -> Self {
        let mut router = Self {
            id: HolderId(name.into()),
            is_relay,
            targets: Targets::default(),
            speeds: SharedSpeeds::default(),
            clock_ms: 90_000 * name.len() as u64,
        };
        (0..targets).for_each(|t| router.add_target(&format!("t{t}"), STARTED_MS));
        router
    }

    fn add_target(&mut self, id: &str, started_ms: u64) {
        let entry = TargetEntry {
            id: TargetId(id.into()),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 9).into(),
            failure_domain: "z".into(),
            slots: 4,
            draining: false,
            started_ms: Some(started_ms),
            cold_ms: 0,
            version: "v1".into(),
        };
        self.targets
            .apply(&Change::Target(entry), Instant::now(), None);
    }

    fn time(&self, at_ms: u64) -> Time {
        Time::from_millis(self.clock_ms + at_ms)
    }

    /// Observes streams at all targets for four seconds up to a time; the first `slow` ones are slower
    /// by 2.5.
    fn observe(&self, until_ms: u64, slow: usize) {
        for step in 0..40 {
            let now = self.time(until_ms - 4_000 + step * 100);
            for (t, target) in self.targets.iter().enumerate() {
                let pause = OutputPause {
                    pending_tokens: 0,
                    running: 1,
                    tokens: 8,
                    ms: if t < slow { 125.0 } else { 50.0 },
                };
                let speed = &mut target.speed.borrow_mut();
                // The samples of a moment are not kept.
                let now = now.plus_millis(t as u64 % 5 * 11);
                self.speeds.record_pause(SERVICE, speed, now, pause);
            }
        }
        self.update(until_ms);
    }

    fn update(&self, at_ms: u64) {
        self.speeds.update_targets(&self.targets, self.time(at_ms));
    }

    fn call(&self, at_ms: u64) -> SpeedCall {
        let now = self.time(at_ms);
        SpeedCall {
            router: self.id.clone(),
            process: 5,
            sent_ms: self.clock_ms + at_ms,
            is_relay: self.is_relay,
            entries: self.speeds.own_entries(&self.targets, now),
        }
    }

    fn handle(&self, call: &SpeedCall, at_ms: u64) -> SpeedAnswer {
        let now = self.time(at_ms);
        self.speeds.handle_call(call, &self.targets, now)
    }

    /// Calls a relay and applies its answer.
    fn exchange_with(&self, relay: &Self, at_ms: u64) {
        let answer = relay.handle(&self.call(at_ms), at_ms);
        let now = self.time(at_ms);
        self.speeds
            .record_answer(&relay.id, answer, now, !self.is_relay);
        self.update(at_ms);
        relay.update(at_ms);
    }

    /// Returns the lasting factor of the first target.
    fn factor(&self, at_ms: u64) -> f64 {
        let first = self.targets.iter().next().unwrap();
        self.speeds.lasting(first, self.time(at_ms))
    }
}

// Guards against slowness that outlives the relay which reported it, and against a follower that
// learns nothing from the next relay.
#[test]
fn reports_end_with_their_relay_and_come_from_the_next_one() {
    let (near, far) = (Router::new("near", true, 5), Router::new("far", true, 5));
    let observer = Router::new("observer", false, 5);
    let idle = Router::new("idle", false, 5);
    observer.observe(4_000, 1);
    observer.exchange_with(&near, 4_000);
    near.exchange_with(&far, 4_100);
    idle.exchange_with(&near, 4_200);
    for router in [&near, &far, &idle] {
        assert!(router.factor(4_200) > 1.5, "{}", router.factor(4_200));
    }
    // The near relay dies. What it passed on is 200 ms old.
    idle.update(5_900);
    assert!(idle.factor(5_900) > 1.5);
    idle.update(6_100);
    far.update(6_200);
    assert_eq!((idle.factor(6_100), far.factor(6_200)), (1.0, 1.0));
    observer.exchange_with(&far, 6_300);
    idle.exchange_with(&far, 6_400);
    assert!(idle.factor(6_400) > 1.5);
}

// Guards against a router that takes its own observations, or those of a third one, for further
// evidence when they come back.
#[test]
fn observations_do_not_come_back() {
    let relays = ["r1", "r2", "r3"].map(|name| Router::new(name, true, 5));
    let observer = Router::new("observer", false, 5);
    observer.observe(4_000, 1);
    assert!(
        relays[0]
            .handle(&observer.call(4_000), 4_000)
            .entries
            .is_empty()
    );
    let answer = relays[1].handle(&relays[0].call(4_000), 4_000);
    assert!(answer.entries.is_empty());
    // A relay passes on what relays say to its followers only.
    let answer = relays[1].handle(&relays[2].call(4_000), 4_000);
    assert!(answer.entries.is_empty());
    let follower = Router::new("f", false, 5);
    assert_eq!(
        relays[1].handle(&follower.call(4_000), 4_000).entries.len(),
        1
    );
}

// Guards against a message that waited in a full link or a frozen process counting as new.
#[test]
fn a_late_report_is_ignored() {
    let (relay, observer) = (Router::new("relay", true, 5), Router::new("o", false, 5));
    relay.handle(&observer.call(1_000), 1_010);
    observer.observe(5_000, 1);
    let call = observer.call(5_000);
    relay.handle(&call, 7_100);
    relay.update(7_100);
    assert_eq!(relay.factor(7_100), 1.0);
    let in_time = observer.call(5_500);
    relay.handle(&in_time, 7_200);
    relay.update(7_200);
    assert!(relay.factor(7_200) > 1.5);
    // An overtaken call does not replace the later one.
    relay.handle(&observer.call(1_000), 7_250);
    relay.update(7_300);
    assert!(relay.factor(7_300) > 1.5);
}

// Guards against a target that is avoided after its restart for what its predecessor was.
#[test]
fn a_report_on_the_previous_incarnation_is_not_applied() {
    let (mut relay, observer) = (Router::new("relay", true, 5), Router::new("o", false, 5));
    observer.observe(4_000, 1);
    relay.handle(&observer.call(4_000), 4_000);
    relay.update(4_000);
    assert!(relay.factor(4_000) > 1.5);
    relay.add_target("t0", STARTED_MS + 1);
    relay.targets.sweep(Instant::now());
    relay.update(4_010);
    let restarted = relay.targets.iter().find(|t| t.entry.id.0 == "t0").unwrap();
    let now = relay.time(4_010);
    assert_eq!(relay.speeds.lasting(restarted, now), 1.0);
}

// Guards against load on the links of fleets whose targets are equally fast, and on slow links where
// many differ.
#[test]
fn messages_are_small_and_name_the_most_significant_targets() {
    let equal = Router::new("equal", false, 40);
    equal.observe(4_000, 0);
    assert!(equal.call(4_000).entries.is_empty());
    let observer = Router::new("observer", false, 200);
    observer.observe(4_000, 90);
    let call = observer.call(4_000);
    assert!(call.entries.len() > 30, "{}", call.entries.len());
    assert!(postcard::to_stdvec(&call).unwrap().len() < 2_000);
}

// Guards against taking a caller that reads slowly, or events that arrive together, for a slow target.
#[test]
fn only_pauses_of_the_target_count() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pauses = EventPauses::default();
    pauses.begin_wait(at(0));
    assert_eq!(pauses.end(1, at(40)), None, "the first event");
    pauses.begin_wait(at(41));
    assert_eq!(pauses.end(0, at(60)), None, "a part of an event");
    pauses.begin_wait(at(61));
    assert_eq!(pauses.end(2, at(90)), Some(50.0));
    pauses.begin_wait(at(390));
    assert_eq!(pauses.end(1, at(400)), None, "the caller did not read");
    pauses.begin_wait(at(400));
    assert_eq!(pauses.end(1, at(450)), Some(50.0));
}
