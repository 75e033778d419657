//! Tests of the simulated plain service: echoed calls, effects and faults.

use wisteriapass_bench::standin::{Service, ServiceSettings, Silence, TargetFaults};

fn put(service: &Service, id: &str, body: &str) -> Result<minreq::Response, minreq::Error> {
    minreq::put(format!("http://{}/pages/7", service.addr()))
        .with_header("connection", "close")
        .with_header("x-request-id", id)
        .with_timeout(2)
        .with_body(body)
        .send()
}

#[test]
fn a_write_is_echoed_and_has_one_effect() {
    let service = Service::start(&ServiceSettings::default()).unwrap();
    let answer = put(&service, "r-1", "text").unwrap();
    let answer: serde_json::Value = serde_json::from_slice(answer.as_bytes()).unwrap();
    assert_eq!(answer["method"], "PUT");
    assert_eq!(answer["path"], "/pages/7");
    assert_eq!(
        answer["body_digest"],
        wisteriapass_bench::sha256_hex(b"text")
    );
    assert_eq!(answer["request_id"], "r-1");
    assert_eq!(service.effects("/pages/7"), 1);
}

#[test]
fn a_read_has_no_effect() {
    let service = Service::start(&ServiceSettings::default()).unwrap();
    let url = format!("http://{}/pages/7", service.addr());
    minreq::get(url)
        .with_header("connection", "close")
        .send()
        .unwrap();
    assert_eq!(service.effects("/pages/7"), 0);
    assert_eq!(service.calls().len(), 1);
}

#[test]
fn errors_resets_and_crossed_answers_are_injected() {
    let service = Service::start(&ServiceSettings::default()).unwrap();
    service.set_faults(TargetFaults {
        errors: 1,
        resets: 1,
        crossed: 1,
        ..TargetFaults::default()
    });
    assert_eq!(put(&service, "r-1", "").unwrap().status_code, 500);
    let reset = put(&service, "r-2", "").unwrap();
    assert!(reset.headers.is_empty(), "the request was answered");
    let crossed = put(&service, "r-3", "").unwrap();
    let id = ("x-request-id".to_owned(), "crossed".to_owned());
    assert!(crossed.headers.contains(&id));
    let executed_ids: Vec<String> = service.calls().into_iter().map(|r| r.request_id).collect();
    assert_eq!(executed_ids, ["r-2", "r-3"]);
}

#[test]
fn a_cut_answer_is_incomplete() {
    let service = Service::start(&ServiceSettings::default()).unwrap();
    let whole = put(&service, "r-1", "text").unwrap().as_bytes().len();
    service.set_faults(TargetFaults {
        cuts: 1,
        ..TargetFaults::default()
    });
    let cut = put(&service, "r-1", "text").unwrap();
    assert!(cut.as_bytes().len() < whole);
    assert_eq!(service.effects("/pages/7"), 2);
}

#[test]
fn an_answer_is_silent_before_or_after_the_run_or_halfway() {
    let service = Service::start(&ServiceSettings::default()).unwrap();
    let effects_of_silent_call = |silence, silent_after| {
        service.set_faults(TargetFaults {
            silence,
            silent_after,
            ..TargetFaults::default()
        });
        put(&service, "r", "").unwrap_err();
        service.effects("/pages/7")
    };
    assert_eq!(effects_of_silent_call(Silence::BeforeRun, None), 0);
    assert_eq!(effects_of_silent_call(Silence::AfterStart, None), 1);
    assert_eq!(effects_of_silent_call(Silence::None, Some(1)), 2);
}
