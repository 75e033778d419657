//! Tests of the simulated platform: calls, call counts, the VM list, weights and faults.

use std::time::Duration;

use wisteriapass_bench::standin::platform::VmState;
use wisteriapass_bench::standin::{Outage, Platform, PlatformFaults, PlatformSettings};
use wisteriapass_coord::store::{HttpStore, Revision, Store, StoreError, Swap};

fn start() -> (Platform, HttpStore) {
    let platform = Platform::start(&PlatformSettings::default()).unwrap();
    let store = HttpStore::new(platform.addr().to_string());
    (platform, store)
}

fn get(platform: &Platform, path: &str) -> String {
    let url = format!("http://{}{path}", platform.addr());
    let answer = minreq::get(url).with_header("connection", "close");
    answer.send().unwrap().as_str().unwrap().to_owned()
}

#[test]
fn the_store_client_is_supported() {
    let (_platform, store) = start();
    let first = store.swap("a", Revision::ABSENT, "1", None).unwrap();
    assert_eq!(first, Swap::Done(Revision(1)));
    let conflict = store.swap("a", Revision::ABSENT, "2", None).unwrap();
    assert!(matches!(conflict, Swap::Conflict(Some(e)) if e.value == "1"));
    assert_eq!(store.get("a").unwrap().unwrap().value, "1");
    assert_eq!(store.list("").unwrap().len(), 1);
    let lease = store.grant_lease(Duration::from_secs(60)).unwrap();
    assert!(store.renew_lease(lease).unwrap());
    let deleted = store.delete("a", Revision(1)).unwrap();
    assert!(matches!(deleted, Swap::Done(_)));
    assert_eq!(store.get("a").unwrap(), None);
}

#[test]
fn a_watch_returns_the_write_that_it_waits_for() {
    let (platform, store) = start();
    let watcher = {
        let store = store.clone();
        std::thread::spawn(move || store.watch("p/", Revision(0), Duration::from_secs(30)))
    };
    while platform.call_counts().watches == 0 {
        std::thread::yield_now();
    }
    store.swap("p/a", Revision::ABSENT, "1", None).unwrap();
    let (revision, entries) = watcher.join().unwrap().unwrap();
    assert_eq!(revision, Revision(1));
    assert_eq!(entries[0].key, "p/a");
}

#[test]
fn each_call_is_counted_once_even_if_it_fails() {
    let (platform, store) = start();
    store.get("a").unwrap();
    store.list("a").unwrap();
    store.swap("a", Revision::ABSENT, "1", None).unwrap();
    store.watch("a", Revision(0), Duration::ZERO).unwrap();
    store.grant_lease(Duration::from_secs(1)).unwrap();
    platform.set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    store.get("a").unwrap_err();
    let counts = platform.call_counts();
    assert_eq!((counts.reads, counts.writes), (3, 1));
    assert_eq!((counts.watches, counts.leases), (1, 1));
    let counts: serde_json::Value = serde_json::from_str(&get(&platform, "/counts")).unwrap();
    assert_eq!(counts["reads"], 3);
}

#[test]
fn a_refused_write_is_known_to_have_no_effect() {
    let (platform, store) = start();
    platform.set_faults(PlatformFaults {
        outage: Outage::Refusing,
        ..PlatformFaults::default()
    });
    let e = store.swap("a", Revision::ABSENT, "1", None).unwrap_err();
    assert!(e.is_without_effect());
    assert_eq!(platform.store().get("a").unwrap(), None);
}

#[test]
fn a_closing_outage_leaves_the_outcome_unknown() {
    let (platform, store) = start();
    platform.set_faults(PlatformFaults {
        outage: Outage::Closing,
        ..PlatformFaults::default()
    });
    let e = store.swap("a", Revision::ABSENT, "1", None).unwrap_err();
    assert!(matches!(e, StoreError::Unknown { .. }));
    assert_eq!(platform.store().get("a").unwrap(), None);
}

#[test]
fn a_call_in_a_silent_outage_times_out() {
    let (platform, store) = start();
    platform.set_faults(PlatformFaults {
        outage: Outage::Silent,
        ..PlatformFaults::default()
    });
    let e = store.get("a").unwrap_err();
    assert!(matches!(e, StoreError::Unknown { .. }));
    platform.set_faults(PlatformFaults::default());
    assert_eq!(store.get("a").unwrap(), None);
}

#[test]
fn an_outage_ends_a_waiting_watch() {
    let (platform, store) = start();
    let watcher =
        std::thread::spawn(move || store.watch("p/", Revision(0), Duration::from_secs(30)));
    while platform.call_counts().watches == 0 {
        std::thread::yield_now();
    }
    platform.set_faults(PlatformFaults {
        outage: Outage::Closing,
        ..PlatformFaults::default()
    });
    watcher.join().unwrap().unwrap_err();
}

#[test]
fn a_write_whose_answer_is_lost_takes_effect() {
    let (platform, store) = start();
    platform.set_faults(PlatformFaults {
        lost_answers: 1.0,
        ..PlatformFaults::default()
    });
    let e = store.swap("a", Revision::ABSENT, "1", None).unwrap_err();
    assert!(matches!(e, StoreError::Unknown { .. }));
    assert_eq!(store.get("a").unwrap().unwrap().value, "1");
}

#[test]
fn the_choice_of_lost_answers_depends_only_on_the_seed() {
    let lost_answers = || {
        let (platform, store) = start();
        platform.set_faults(PlatformFaults {
            lost_answers: 0.5,
            ..PlatformFaults::default()
        });
        (0..20)
            .map(|n| store.swap(&n.to_string(), Revision::ABSENT, "", None))
            .map(|swapped| swapped.is_err())
            .collect::<Vec<_>>()
    };
    let first = lost_answers();
    assert!(first.contains(&true) && first.contains(&false));
    assert_eq!(first, lost_answers());
}

#[test]
fn the_vm_list_shows_a_change_only_after_its_delay() {
    let platform = Platform::start(&PlatformSettings {
        vm_lag_ms: 3_600_000,
        ..PlatformSettings::default()
    })
    .unwrap();
    platform.set_vm("vm-1", VmState::Live);
    platform.set_vm("vm-1", VmState::Gone);
    assert_eq!(get(&platform, "/vms"), r#"[{"vm":"vm-1","state":"live"}]"#);
}

#[test]
fn faults_and_vms_can_be_set_over_http() {
    let (platform, store) = start();
    let post = |path: &str, body: &str| {
        let url = format!("http://{}{path}", platform.addr());
        let req = minreq::post(url).with_header("connection", "close");
        req.with_body(body).send().unwrap().status_code
    };
    assert_eq!(post("/vms", r#"{"vm":"vm-2","state":"leaving"}"#), 200);
    assert!(get(&platform, "/vms").contains("leaving"));
    assert_eq!(post("/faults", r#"{"outage":"refusing"}"#), 200);
    store.get("a").unwrap_err();
    assert_eq!(post("/faults", r#"{"outrage":"refusing"}"#), 400);
    assert_eq!(post("/faults", "{}"), 200);
    store.get("a").unwrap();
}

#[test]
fn weights_are_downloaded_whole() {
    let (platform, _) = start();
    assert_eq!(get(&platform, "/weights/m").len(), 1 << 20);
}
