//! `explain` finds the cause of a failed request in recorded logs.

mod support;

use support::{FaultyStore, run};
use wisteriapass::Exit;

/// Recorded log lines of routers during several faults.
const LOG: &str = include_str!("data/routers.log");

/// Returns the number of log lines of a request, and the cause that is reported.
fn explain(id: &str) -> (usize, String) {
    let (exit, text) = run(&FaultyStore::new(), &["explain", id], LOG);
    assert_eq!(exit, Exit::Success);
    let cause = text.lines().last().unwrap_or_default().to_owned();
    (text.lines().count() - 1, cause)
}

#[test]
fn a_used_up_share_during_a_store_outage() {
    let (lines, cause) = explain("24b10fe25c5a44fa");
    assert_eq!(lines, 2);
    assert!(cause.contains("lost contact with the store"), "{cause}");
}

#[test]
fn a_stream_that_could_not_be_resumed() {
    let (lines, cause) = explain("7dabfcb45d239ea3");
    assert_eq!(lines, 2);
    assert!(cause.contains("its stream broke"), "{cause}");
}

#[test]
fn a_lost_answer() {
    let (_, cause) = explain("72ca053cb6a515ad");
    assert!(cause.contains("lost or invalid"), "{cause}");
}

#[test]
fn a_timeout() {
    let (_, cause) = explain("55dd8da68898be15");
    assert!(cause.contains("its target did not answer"), "{cause}");
}

#[test]
fn a_retried_request() {
    let (_, cause) = explain("0b4427b5b575fffc");
    assert!(cause.contains("sent again"), "{cause}");
}

#[test]
fn a_quarantined_request() {
    let (_, cause) = explain("p5");
    assert!(cause.contains("refused before it ran"), "{cause}");
}

#[test]
fn a_target_that_crashed_while_the_request_ran() {
    let (_, cause) = explain("p1");
    assert!(cause.contains("process ended while it ran"), "{cause}");
}

#[test]
fn an_id_without_log_lines() {
    let (lines, cause) = explain("24b10fe");
    assert_eq!(lines, 0);
    assert!(cause.contains("no log line has its id"), "{cause}");
}

/// Guards against a refusal whose cause is reported as a success.
#[test]
fn a_refusal_is_explained_as_an_answer() {
    for reason in [
        "limited",
        "resting",
        "cold",
        "saved",
        "stopping",
        "no_region",
        "suspect",
    ] {
        let line = format!("time=1.0 process=r part=exchange Refused. request=a reason={reason}\n");
        let (_, text) = run(&FaultyStore::new(), &["explain", "a"], &line);
        assert!(text.contains("refused"), "{reason}: {text}");
    }
}
