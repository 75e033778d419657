//! Requests that crash their targets behind a part of an unframed answer.

use wisteriapass_bench::standin::users_platform::{BreakOff, BreakPoint, Framing};

use super::{
    MAX_LATE_COPIES, assert_others_are_served, assert_quarantined, crash_targets,
    crashing_platform, routers, wait_until_served,
};

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
    wait_until_served(&platform, &routers);
    crash_targets(&platform, &routers);
    assert_quarantined(&platform, &routers, MAX_LATE_COPIES);
    wait_until_served(&platform, &routers);
    assert_others_are_served(&routers);
}

#[test]
fn a_request_that_crashes_targets_inside_an_unframed_event_is_quarantined() {
    assert_crashes_are_counted(BreakPoint::InsideEvent);
}

#[test]
fn a_request_that_crashes_targets_between_unframed_events_is_quarantined() {
    assert_crashes_are_counted(BreakPoint::BetweenEvents);
}
