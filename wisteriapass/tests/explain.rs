//! `explain` names the cause of a failed request from recorded logs.

mod support;

use support::{FaultyStore, run};
use wisteriapass::Exit;

/// Lines of routers on a bad day.
const LOG: &str = include_str!("data/routers.log");

/// Returns what is said of a request: its lines, and the cause.
fn explain(id: &str) -> (usize, String) {
    let (exit, text) = run(&FaultyStore::new(), &["explain", id], LOG);
    assert_eq!(exit, Exit::Success);
    let cause = text.lines().last().unwrap_or_default().to_owned();
    (text.lines().count() - 1, cause)
}

#[test]
fn a_request_refused_for_money_during_a_cut() {
    let (lines, cause) = explain("24b10fe25c5a44fa");
    assert_eq!(lines, 2);
    assert!(cause.contains("out of touch with the store"), "{cause}");
}

#[test]
fn a_stream_that_could_not_go_on() {
    let (lines, cause) = explain("7dabfcb45d239ea3");
    assert_eq!(lines, 2);
    assert!(cause.contains("its stream broke"), "{cause}");
}

#[test]
fn an_answer_that_was_lost() {
    let (_, cause) = explain("72ca053cb6a515ad");
    assert!(cause.contains("lost or wrong"), "{cause}");
}

#[test]
fn a_request_given_up_at_its_timeout() {
    let (_, cause) = explain("55dd8da68898be15");
    assert!(cause.contains("its target was silent"), "{cause}");
}

#[test]
fn a_request_that_was_sent_again() {
    let (_, cause) = explain("0b4427b5b575fffc");
    assert!(cause.contains("sent again"), "{cause}");
}

#[test]
fn a_request_that_crashes_targets() {
    let (_, cause) = explain("p5");
    assert!(cause.contains("refused before it ran"), "{cause}");
}

#[test]
fn a_request_whose_target_ended() {
    let (_, cause) = explain("p1");
    assert!(cause.contains("process ended while it ran"), "{cause}");
}

#[test]
fn an_id_that_no_line_names() {
    let (lines, cause) = explain("24b10fe");
    assert_eq!(lines, 0);
    assert!(cause.contains("no line names it"), "{cause}");
}
