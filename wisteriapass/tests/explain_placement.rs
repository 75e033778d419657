//! `explain-placement` prints what a router answers, and says what to do if it does not.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::spawn;

use serde_json::{Value, json};
use support::{FaultyStore, empty_dir, run};
use wisteriapass::Exit;

/// Answer of a router, with the longest texts that occur.
const ANSWER: &str = include_str!("data/placement.json");

/// Starts a server that answers one call, and returns its address and what it then received.
fn serve_once(status: u16, body: &str) -> (String, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 {status} x\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    let server = spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        while !received.ends_with(b"}") {
            let n = stream.read(&mut buffer).unwrap();
            assert!(n > 0, "the question breaks off");
            received.extend_from_slice(&buffer[..n]);
        }
        stream.write_all(answer.as_bytes()).unwrap();
        String::from_utf8(received).unwrap()
    });
    (address, server)
}

/// Runs the command with JSON output against a server; returns the exit code, the output and the
/// question.
fn ask(status: u16, body: &str, args: &[&str], input: &str) -> (Exit, Value, Value) {
    let (address, server) = serve_once(status, body);
    let command = ["explain-placement", "--json", "--router", &address];
    let (exit, text) = run(&FaultyStore::new(), &[&command, args].concat(), input);
    let received = server.join().unwrap();
    assert!(received.starts_with("POST /explain-placement HTTP/1.1"));
    let question = received.split("\r\n\r\n").nth(1).unwrap();
    let question = serde_json::from_str(question).unwrap();
    (exit, serde_json::from_str(&text).unwrap(), question)
}

/// Runs the command without a server; returns the exit code and the error.
fn fail(args: &[&str]) -> (Exit, String) {
    let args = [&["explain-placement", "--json"], args].concat();
    let (exit, text) = run(&FaultyStore::new(), &args, "");
    let failure: Value = serde_json::from_str(&text).unwrap();
    (exit, failure["error"].as_str().unwrap().to_owned())
}

const FIELDS: [&str; 4] = ["--host", "h.example", "--path", "/a/b"];

#[test]
fn options_become_the_question_and_the_answer_is_printed_whole() {
    let options = [
        "--key",
        "-",
        "--prompt-parts",
        "f1:500,2:10",
        "--tokens",
        "510,40",
    ];
    let args = [&FIELDS[..], &options, &["--remaining", "900"]].concat();
    let (exit, answer, question) = ask(200, ANSWER, &args, "secret\n");
    assert_eq!(exit, Exit::Success);
    assert_eq!(answer, serde_json::from_str::<Value>(ANSWER).unwrap());
    let expected = json!({
        "host": "h.example", "path": "/a/b", "key": "secret", "remaining_ms": 900,
        "prompt_parts": [{"id": "f1", "tokens": 500}, {"id": "2", "tokens": 10}],
        "prompt_tokens": 510, "max_output_tokens": 40,
    });
    assert_eq!(question, expected);
}

/// Guards against bodies of saved requests that leave the operator's machine.
#[test]
fn only_the_head_of_a_saved_request_is_sent() {
    let saved = "\nPOST /a/b HTTP/1.1\nHost: h.example\n\nprivate: body";
    let args = ["--request", "-", "--account", "acme"];
    let (exit, _, question) = ask(200, ANSWER, &args, saved);
    assert_eq!(exit, Exit::Success);
    let head = "POST /a/b HTTP/1.1\r\nHost: h.example";
    assert_eq!(question, json!({"account": "acme", "head": head}));
}

#[test]
fn the_table_fits_a_hundred_columns_and_names_all() {
    let (address, server) = serve_once(200, ANSWER);
    let command = ["explain-placement", "--router", &address];
    let (exit, text) = run(&FaultyStore::new(), &[&command, &FIELDS[..]].concat(), "");
    server.join().unwrap();
    assert_eq!(exit, Exit::Success);
    let widest = text.lines().map(|line| line.chars().count()).max();
    assert!(widest <= Some(100), "{text}");
    let words: Vec<&str> = text.split_whitespace().collect();
    let words = words.join(" ");
    for expected in [
        "> i-2f280e862e",
        "2nd home",
        "other_version",
        "resting 600.0s",
        "mostly by read",
        "share_short (503), retry after 1200 ms",
        "hedge off",
        "no contact with the store",
    ] {
        assert!(words.contains(expected), "{expected}: {text}");
    }
}

#[test]
fn what_is_wrong_and_what_to_do_is_said() {
    let error = |kind: &str| json!({"error": {"kind": kind, "message": "do this"}}).to_string();
    for (status, body, exit, expected) in [
        (404, error("unknown_host"), Exit::Refused, "do this"),
        (404, error("unknown_account"), Exit::Refused, "do this"),
        (400, error("malformed"), Exit::Usage, "do this"),
        (503, error("not_configured"), Exit::Unreachable, "do this"),
        (
            404,
            String::new(),
            Exit::Refused,
            "give the metrics and readiness address",
        ),
        (
            200,
            "{}".into(),
            Exit::Refused,
            "give the metrics and readiness address",
        ),
        (
            200,
            "<html>".into(),
            Exit::Refused,
            "give the metrics and readiness address",
        ),
    ] {
        let (found, output, _) = ask(status, &body, &FIELDS, "");
        assert_eq!(found, exit, "{body}");
        let message = output["error"].as_str().unwrap();
        assert!(message.contains(expected), "{message}");
        assert_eq!(output["exit"], json!(exit as u8));
    }
}

#[test]
fn a_router_that_does_not_answer_is_named() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let closed = closed.unwrap().to_string();
    let (exit, error) = fail(&[&["--router", &closed], &FIELDS[..]].concat());
    assert_eq!(exit, Exit::Unreachable);
    assert!(
        error.contains(&closed) && error.contains("check that it runs"),
        "{error}"
    );
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let hangs_up = spawn(move || drop(listener.accept().unwrap()));
    let (exit, error) = fail(&[&["--router", &address], &FIELDS[..]].concat());
    hangs_up.join().unwrap();
    assert_eq!(exit, Exit::Unreachable);
    assert!(error.contains("check that it runs"), "{error}");
}

#[test]
fn mistakes_on_the_command_line_are_found_before_a_router_is_asked() {
    let file = empty_dir("explain_placement").join("saved");
    let file = file.to_str().unwrap();
    for (content, expected) in [
        ("{\"host\": \"h\"}", "no request line"),
        ("POST /a HTTP/1.1\nnonsense", "no request line"),
    ] {
        std::fs::write(file, content).unwrap();
        let (exit, error) = fail(&["--router", "127.0.0.1:1", "--request", file]);
        assert_eq!(exit, Exit::Usage);
        assert!(error.contains(expected) && error.contains(file), "{error}");
    }
    for (args, expected) in [
        (vec!["--router", "r"], "is no IP:PORT"),
        (vec!["--router", "127.0.0.1:1"], "give --host and --path"),
        (vec!["--request", "missing"], "check the path"),
        (vec!["--request", file, "--host", "h"], "not both"),
        (vec!["--account", "a", "--key", "k"], "not both"),
        (vec!["--prompt-parts", "f1:5"], "give --tokens"),
        (
            vec!["--prompt-parts", "zz:5", "--tokens", "1,2"],
            "hexadecimal",
        ),
        (vec!["--tokens", "many"], "is no IN,OUT"),
    ] {
        let mut all = vec!["--router", "127.0.0.1:1"];
        if !args.contains(&"--request") && !args.contains(&"--router") {
            all.extend(FIELDS);
        }
        all.extend(args);
        let (exit, error) = fail(&all);
        assert_eq!(exit, Exit::Usage, "{error}");
        assert!(error.contains(expected), "{error}");
    }
}
