//! Requests that crash their targets behind a part of an unframed answer.

use wisteriapass_bench::standin::users_platform::{BreakOff, BreakPoint, Framing};

use super::{assert_stops_reaching_targets, crashing_platform, routers};

fn assert_crashes_are_counted(at: BreakPoint) {
    let platform = crashing_platform();
    for engine in &platform.engines {
        engine.set_crash_break(BreakOff {
            at,
            framing: Framing::Unframed,
            ..BreakOff::after(2)
        });
    }
    let routers = routers(&platform, ["a", "b"]);
    assert_stops_reaching_targets(&platform, &routers);
}

#[test]
fn a_request_that_crashes_targets_inside_an_unframed_event_is_quarantined() {
    assert_crashes_are_counted(BreakPoint::InsideEvent);
}

#[test]
fn a_request_that_crashes_targets_between_unframed_events_is_quarantined() {
    assert_crashes_are_counted(BreakPoint::BetweenEvents);
}
