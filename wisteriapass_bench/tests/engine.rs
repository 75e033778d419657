//! Tests of the simulated engine: streamed answers, resume, cancel, orders and faults.

use std::io::{BufRead, BufReader, Lines};
use std::time::Duration;

use serde_json::{Value, json};
use wisteriapass_bench::standin::{
    Engine, EngineSettings, Platform, PlatformSettings, Silence, TargetFaults, expected_answer,
};

const MODEL: &str = "m";
const ONE_HOUR: Duration = Duration::from_secs(3_600);

fn fast_settings() -> EngineSettings {
    EngineSettings {
        time_to_first_token: Duration::ZERO,
        time_per_token: Duration::ZERO,
        load_report_interval_ms: 0,
        event_delay_ms: 0,
        ..EngineSettings::default()
    }
}

/// Returns settings of an engine that does not generate a second token during the test.
fn stalled_settings() -> EngineSettings {
    EngineSettings {
        time_per_token: ONE_HOUR,
        ..fast_settings()
    }
}

fn post(engine: &Engine, path: &str, id: &str, body: &Value) -> minreq::Request {
    minreq::post(format!("http://{}{path}", engine.addr()))
        .with_header("connection", "close")
        .with_header("x-request-id", id)
        .with_timeout(2)
        .with_body(body.to_string())
}

fn call(engine: &Engine, path: &str, body: &Value) -> Value {
    let answer = post(engine, path, "", body).send().unwrap();
    serde_json::from_slice(answer.as_bytes()).unwrap()
}

fn get(engine: &Engine, path: &str) -> Value {
    let req = minreq::get(format!("http://{}{path}", engine.addr()));
    let answer = req.with_header("connection", "close").send().unwrap();
    serde_json::from_slice(answer.as_bytes()).unwrap()
}

fn chat(prompt: &str, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 100,
        "stream": stream,
    })
}

/// Reads the events of a streamed answer as they arrive.
struct Events(Lines<BufReader<minreq::ResponseLazy>>);

impl Events {
    fn of(req: minreq::Request) -> Self {
        Self(BufReader::new(req.send_lazy().unwrap()).lines())
    }

    fn next_data(&mut self) -> Option<String> {
        loop {
            let line = self.0.next()?.ok()?;
            if let Some(data) = line.strip_prefix("data: ") {
                return Some(data.to_owned());
            }
        }
    }

    fn next_json(&mut self) -> Option<Value> {
        serde_json::from_str(&self.next_data()?).ok()
    }
}

fn content(event: &Value) -> Option<String> {
    Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned())
}

/// Returns the tokens up to the first event without one, and that event.
fn tokens(events: &mut Events) -> (Vec<String>, Option<Value>) {
    let mut tokens = Vec::new();
    while let Some(event) = events.next_json() {
        match content(&event) {
            Some(token) => tokens.push(token),
            None => return (tokens, Some(event)),
        }
    }
    (tokens, None)
}

fn executed_ids(engine: &Engine) -> Vec<String> {
    engine
        .executions()
        .into_iter()
        .map(|r| r.request_id)
        .collect()
}

#[test]
fn a_streamed_answer_is_the_expected_one_with_its_usage() {
    let engine = Engine::start(fast_settings()).unwrap();
    let req = post(
        &engine,
        "/v1/chat/completions",
        "r-1",
        &chat("hello tokens=7", true),
    );
    let mut events = Events::of(req);
    let (tokens, last) = tokens(&mut events);
    assert_eq!(tokens, expected_answer(MODEL, "hello tokens=7", 100));
    let last = last.unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert_eq!(last["id"], "r-1");
    let usage = events.next_json().unwrap()["usage"].clone();
    let expected = json!({"prompt_tokens": 4, "completion_tokens": 7, "total_tokens": 11});
    assert_eq!(usage, expected);
    assert_eq!(events.next_data().unwrap(), "[DONE]");
    assert_eq!(events.next_data(), None);
    assert_eq!(engine.executions()[0].tokens, 7);
}

#[test]
fn a_limit_cuts_the_answer() {
    let engine = Engine::start(fast_settings()).unwrap();
    let mut body = chat("tokens=7", false);
    body["max_tokens"] = json!(3);
    let answer = call(&engine, "/v1/chat/completions", &body);
    let whole = expected_answer(MODEL, "tokens=7", 3).concat();
    assert_eq!(answer["choices"][0]["message"]["content"], whole);
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 3);
}

#[test]
fn the_first_token_is_sent_before_the_second_is_generated() {
    let engine = Engine::start(stalled_settings()).unwrap();
    let req = post(
        &engine,
        "/v1/chat/completions",
        "r-1",
        &chat("tokens=7", true),
    );
    let mut events = Events::of(req);
    assert!(content(&events.next_json().unwrap()).is_some());
    let cancelled = call(&engine, "/v1/cancel", &json!({"request_id": "r-1"}));
    assert_eq!(cancelled, json!({"cancelled": true, "ran": true}));
    let last = events.next_json().unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "cancelled");
    assert_eq!(events.next_json().unwrap()["usage"]["completion_tokens"], 1);
}

#[test]
fn a_queued_request_is_cancelled_without_running() {
    let engine = Engine::start(EngineSettings {
        slots: 1,
        ..stalled_settings()
    })
    .unwrap();
    let first = post(
        &engine,
        "/v1/chat/completions",
        "r-1",
        &chat("a tokens=7", true),
    );
    let mut first = Events::of(first);
    first.next_json().unwrap();
    let second = post(
        &engine,
        "/v1/chat/completions",
        "r-2",
        &chat("b tokens=7", true),
    );
    let _second = second.send_lazy().unwrap();
    let load = get(&engine, "/load");
    assert_eq!((&load["running"], &load["queued"]), (&json!(1), &json!(1)));
    let cancelled = call(&engine, "/v1/cancel", &json!({"request_id": "r-2"}));
    assert_eq!(cancelled, json!({"cancelled": true, "ran": false}));
    assert_eq!(executed_ids(&engine), ["r-1"]);
}

#[test]
fn urgent_requests_get_a_slot_first() {
    let engine = Engine::start(EngineSettings {
        slots: 1,
        ..stalled_settings()
    })
    .unwrap();
    let first = post(
        &engine,
        "/v1/chat/completions",
        "r-0",
        &chat("a tokens=7", true),
    );
    let mut first = Events::of(first);
    first.next_json().unwrap();
    let mut queued = Vec::new();
    for (id, priority) in [("r-1", "batch"), ("r-2", "interactive")] {
        let req = post(&engine, "/v1/chat/completions", id, &chat(id, true));
        queued.push(req.with_header("x-priority", priority).send_lazy().unwrap());
    }
    call(&engine, "/v1/cancel", &json!({"request_id": "r-0"}));
    while engine.executions().len() < 2 {
        std::thread::yield_now();
    }
    assert_eq!(executed_ids(&engine)[1], "r-2");
}

#[test]
fn a_stopped_answer_resumes_on_a_new_connection() {
    let engine = Engine::start(fast_settings()).unwrap();
    engine.set_faults(TargetFaults {
        silent_after: Some(2),
        ..TargetFaults::default()
    });
    let req = post(
        &engine,
        "/v1/chat/completions",
        "r-1",
        &chat("tokens=5", true),
    );
    let (first, end) = tokens(&mut Events::of(req));
    assert_eq!((first.len(), end), (2, None));
    engine.set_faults(TargetFaults::default());
    let body = json!({"request_id": "r-1", "from": 2});
    let (rest, end) = tokens(&mut Events::of(post(&engine, "/v1/resume", "", &body)));
    assert!(end.is_some());
    assert_eq!(
        [first, rest].concat(),
        expected_answer(MODEL, "tokens=5", 100)
    );
    assert_eq!(executed_ids(&engine), ["r-1"]);
}

#[test]
fn a_cut_answer_closes_after_a_token_and_resumes() {
    let engine = Engine::start(fast_settings()).unwrap();
    engine.set_faults(TargetFaults {
        cuts: 1,
        ..TargetFaults::default()
    });
    let req = post(
        &engine,
        "/v1/chat/completions",
        "r-1",
        &chat("tokens=5", true),
    );
    let (first, end) = tokens(&mut Events::of(req));
    assert_eq!((first.len(), end), (1, None));
    let body = json!({"request_id": "r-1", "from": 1});
    let (rest, _) = tokens(&mut Events::of(post(&engine, "/v1/resume", "", &body)));
    assert_eq!(rest.len(), 4);
}

#[test]
fn one_crossed_answer_has_another_requests_id() {
    let engine = Engine::start(fast_settings()).unwrap();
    engine.set_faults(TargetFaults {
        crossed: 1,
        ..TargetFaults::default()
    });
    let body = chat("mine", false);
    let send = || {
        let answer = post(&engine, "/v1/chat/completions", "r-1", &body)
            .send()
            .unwrap();
        serde_json::from_slice::<Value>(answer.as_bytes()).unwrap()
    };
    let own_answer = expected_answer(MODEL, "mine", 100).concat();
    let crossed = send();
    assert_ne!(crossed["id"], "r-1");
    assert_ne!(crossed["choices"][0]["message"]["content"], own_answer);
    assert_eq!(send()["choices"][0]["message"]["content"], own_answer);
}

#[test]
fn refused_requests_do_not_run_and_reset_ones_do() {
    let engine = Engine::start(fast_settings()).unwrap();
    engine.set_faults(TargetFaults {
        errors: 1,
        resets: 1,
        ..TargetFaults::default()
    });
    let send = |id| post(&engine, "/v1/chat/completions", id, &chat("x", true)).send();
    assert_eq!(send("r-1").unwrap().status_code, 500);
    assert!(engine.executions().is_empty());
    assert!(
        send("r-2").unwrap().headers.is_empty(),
        "the request was answered"
    );
    assert_eq!(send("r-3").unwrap().status_code, 200);
    assert_eq!(executed_ids(&engine), ["r-2", "r-3"]);
}

#[test]
fn unanswered_requests_run_only_if_silent_after_start() {
    let engine = Engine::start(fast_settings()).unwrap();
    for (id, silence) in [("r-1", Silence::BeforeRun), ("r-2", Silence::AfterStart)] {
        engine.set_faults(TargetFaults {
            silence,
            ..TargetFaults::default()
        });
        let request = post(&engine, "/v1/chat/completions", id, &chat("x", true));
        request.send().unwrap_err();
    }
    assert_eq!(executed_ids(&engine), ["r-2"]);
}

#[test]
fn a_late_answer_starts_after_its_run_finished() {
    let engine = Engine::start(EngineSettings {
        time_per_token: Duration::from_millis(5),
        ..fast_settings()
    })
    .unwrap();
    engine.set_faults(TargetFaults {
        late_ms: 1,
        ..TargetFaults::default()
    });
    let req = post(
        &engine,
        "/v1/chat/completions",
        "r-1",
        &chat("tokens=9", true),
    );
    let mut events = Events::of(req);
    events.next_json().unwrap();
    assert!(engine.executions()[0].finished.is_some());
}

#[test]
fn an_outdated_fencing_token_is_refused_only_if_checked() {
    for checks_fencing in [true, false] {
        let engine = Engine::start(EngineSettings {
            checks_fencing,
            ..fast_settings()
        })
        .unwrap();
        let role = |fencing| json!({"order": "role", "role": "decode", "fencing": fencing});
        assert_eq!(call(&engine, "/orders", &role(5))["accepted"], true);
        let outdated = call(&engine, "/orders", &role(4));
        assert_eq!(outdated["accepted"], !checks_fencing);
        assert_eq!(engine.orders().len(), 2);
    }
}

#[test]
fn an_ordered_model_is_served_once_its_weights_are_downloaded() {
    let platform = Platform::start(&PlatformSettings::default()).unwrap();
    let engine = Engine::start(EngineSettings {
        models: vec!["other".into()],
        weight_store: Some(platform.addr()),
        ..fast_settings()
    })
    .unwrap();
    let send = || post(&engine, "/v1/chat/completions", "r-1", &chat("x", false)).send();
    assert_eq!(send().unwrap().status_code, 404);
    let order = json!({"order": "load", "model": MODEL, "fencing": 1});
    assert_eq!(call(&engine, "/orders", &order)["accepted"], true);
    while send().unwrap().status_code == 404 {
        std::thread::yield_now();
    }
    assert_eq!(get(&engine, "/models"), json!([MODEL, "other"]));
}

#[test]
fn cache_event_numbers_have_gaps() {
    let engine = Engine::start(EngineSettings {
        event_loss_interval: 3,
        ..fast_settings()
    })
    .unwrap();
    let prompt = "x".repeat(256 * 5);
    call(&engine, "/v1/chat/completions", &chat(&prompt, false));
    let events: Vec<Value> = get(&engine, "/events").as_array().unwrap().clone();
    let events: Vec<u64> = events.iter().filter_map(|e| e["seq"].as_u64()).collect();
    assert_eq!(events, [1, 2, 4, 5]);
    assert_eq!(get(&engine, "/events?after=4").as_array().unwrap().len(), 1);
}

#[test]
fn malformed_requests_are_refused_without_a_run() {
    let engine = Engine::start(fast_settings()).unwrap();
    let request = post(&engine, "/v1/chat/completions", "r-1", &json!({"model": 1}));
    assert_eq!(request.send().unwrap().status_code, 400);
    assert!(engine.executions().is_empty());
}
