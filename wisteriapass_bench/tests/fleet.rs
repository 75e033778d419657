//! The test harness: daemons as child processes, with signals and restarts.

use std::time::{Duration, Instant};

use wisteriapass_bench::fleet::{Fleet, FleetError, FleetPlan, Program, Signal};
use wisteriapass_config::CURRENT_KEY;
use wisteriapass_coord::store::Store;

fn plan() -> FleetPlan {
    FleetPlan {
        routers: 1,
        engines: 1,
        services: 0,
        ..FleetPlan::new(Program::Tool(
            env!("CARGO_BIN_EXE_wisteriapass_bench").into(),
        ))
    }
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

#[test]
fn a_fleet_becomes_ready_and_its_daemons_exit_when_it_is_dropped() {
    let fleet = Fleet::start(plan()).unwrap();
    let pids: Vec<u32> = ["router-1", "engine-1"]
        .iter()
        .map(|name| fleet.daemon(name).unwrap().pid().unwrap())
        .collect();
    drop(fleet);
    for pid in pids {
        assert!(!std::path::Path::new(&format!("/proc/{pid}")).exists());
    }
}

#[test]
fn a_terminated_daemon_exits_successfully_and_restarts() {
    let fleet = Fleet::start(plan()).unwrap();
    let mut router = fleet.daemon("router-1").unwrap();
    let pid = router.pid();
    router.signal(Signal::Terminate).unwrap();
    assert!(router.wait_exit(deadline()).unwrap().success());
    assert!(matches!(
        router.signal(Signal::Terminate),
        Err(FleetError::NotRunning { .. })
    ));
    router.start().unwrap();
    router.wait_ready(deadline()).unwrap();
    assert_ne!(router.pid(), pid);
}

#[test]
fn a_paused_daemon_does_not_answer_until_it_resumes() {
    let fleet = Fleet::start(plan()).unwrap();
    let mut router = fleet.daemon("router-1").unwrap();
    router.signal(Signal::Pause).unwrap();
    assert!(router.is_running());
    assert_eq!(router.admin("/livez"), None);
    router.signal(Signal::Resume).unwrap();
    router.wait_ready(deadline()).unwrap();
}

#[test]
fn exactly_one_of_two_concurrent_edits_is_applied() {
    let fleet = Fleet::start(plan()).unwrap();
    let before = fleet.document().revision;
    for n in 1..=20 {
        assert_eq!(fleet.race_edits().unwrap(), before + n);
    }
    let entry = fleet.platform().store().get(CURRENT_KEY).unwrap().unwrap();
    assert_eq!(entry.value, fleet.document().to_json());
    // The rejected edit does not prevent the next one.
    assert_eq!(fleet.apply(fleet.document()).unwrap(), before + 21);
}

#[test]
fn a_daemon_that_rejects_its_settings_is_reported_with_its_log() {
    let rejected = Fleet::start(FleetPlan {
        log: "loud".into(),
        ..plan()
    });
    let e = rejected.err().unwrap();
    assert!(matches!(e, FleetError::Ended { .. }));
    assert!(e.to_string().contains("loud"), "{e}");
}

#[test]
fn the_error_for_a_missing_program_names_the_remedy() {
    let missing = FleetError::NoProgram {
        path: "wisteriapassd".into(),
    };
    let text = missing.to_string();
    assert!(text.contains("cargo build -p wisteriapass_daemon"));
}
