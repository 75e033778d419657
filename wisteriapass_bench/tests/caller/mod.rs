//! Caller that retries its request at the next router, as behind a load balancer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use wisteriapass_bench::fleet::{AccountPlan, Fleet, FleetPlan, Program};
use wisteriapass_bench::standin::expected_answer;

/// Interval between polls of a condition and between attempts, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Prepaid tokens of the account, far more than any test spends.
const PREPAID: u64 = 10_000_000;

/// Maximum number of times that a request is sent.
const MAX_ATTEMPTS: usize = 60;

/// Returns a plan whose daemons run this tool, without simulated links.
///
/// A simulated link accepts connections that its server would refuse, so callers could not tell a
/// request that was never sent from one whose connection broke.
#[allow(dead_code)]
pub fn plan(routers: usize, engines: usize) -> FleetPlan {
    let tool = env!("CARGO_BIN_EXE_wisteriapass_bench").into();
    FleetPlan {
        routers,
        engines,
        services: 0,
        linked: false,
        accounts: vec![AccountPlan::new("acme").with_prepaid(PREPAID)],
        ..FleetPlan::new(Program::Tool(tool))
    }
}

/// Waits until a condition holds; returns whether it did within this many seconds.
#[allow(dead_code)]
pub fn wait_until(seconds: u64, mut is_met: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < deadline {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
    is_met()
}

/// What a caller does when its connection breaks after the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnDisconnect {
    /// Counts the request as failed.
    Fail,
    /// Retries the request with the same idempotency key at the next router.
    #[allow(dead_code)]
    Retry,
}

/// Sends a chat with an idempotency key and returns the text of the complete answer.
pub fn send_chat(
    routers: &[SocketAddr],
    key: &str,
    tokens: u32,
    on_disconnect: OnDisconnect,
) -> Result<String, String> {
    let prompt = format!("question {key} tokens={tokens}");
    let body = format!(
        r#"{{"model":"wisteria-8b","max_tokens":{tokens},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    );
    let mut last_error = String::new();
    for n in 0..MAX_ATTEMPTS {
        let router = routers[n % routers.len()];
        let response = minreq::post(format!("http://{router}/v1/chat/completions"))
            .with_header("authorization", "Bearer key-of-acme")
            .with_header("content-type", "application/json")
            .with_header("idempotency-key", key)
            .with_header("connection", "close")
            .with_body(body.clone())
            .with_timeout(60)
            .send();
        match response {
            Ok(r) if r.status_code == 200 => {
                return check_answer(r.as_str().unwrap_or_default(), &prompt, tokens);
            }
            Ok(r) => last_error = format!("{} {}", r.status_code, r.as_str().unwrap_or_default()),
            Err(e) if is_connection_refused(&e) => last_error = e.to_string(),
            Err(_) if on_disconnect == OnDisconnect::Retry => continue,
            // The connection broke after the request was sent.
            Err(e) => return Err(format!("connection to {router} broke: {e}")),
        }
        // minreq returns a 503 without a body when a connection closes before its response.
        if on_disconnect == OnDisconnect::Retry && last_error == "503 " {
            continue;
        }
        if !last_error.contains(r#""ran":"not_run""#) && !last_error.contains("refused") {
            return Err(last_error);
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
    Err(last_error)
}

fn is_connection_refused(e: &minreq::Error) -> bool {
    match e {
        minreq::Error::IoError(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Returns the text of an answer if it is the complete answer to this prompt.
fn check_answer(answer: &str, prompt: &str, tokens: u32) -> Result<String, String> {
    let json: serde_json::Value = serde_json::from_str(answer).map_err(|e| e.to_string())?;
    let text = json["choices"][0]["message"]["content"].as_str();
    let text = text.unwrap_or_default().to_owned();
    let expected = expected_answer("wisteria-8b", prompt, tokens).concat();
    if text == expected {
        return Ok(text);
    }
    Err(format!("not the complete answer: {answer}"))
}

/// Stops the load when dropped, also if the test panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Keeps `callers` sending requests while `work` runs; returns the number of answered requests and
/// the failures.
#[allow(dead_code)]
pub fn under_load(fleet: &Fleet, callers: usize, work: impl FnOnce()) -> (usize, Vec<String>) {
    under_load_with(fleet, callers, OnDisconnect::Fail, work)
}

/// Does the same as [`under_load`], with the given behaviour on a broken connection.
#[allow(dead_code)]
pub fn under_load_with(
    fleet: &Fleet,
    callers: usize,
    on_disconnect: OnDisconnect,
    work: impl FnOnce(),
) -> (usize, Vec<String>) {
    let routers = fleet.router_addrs();
    let is_finished = AtomicBool::new(false);
    let answered = AtomicUsize::new(0);
    let failures = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|c| {
                let (routers, is_finished, answered) = (routers.clone(), &is_finished, &answered);
                scope.spawn(move || {
                    let mut routers = routers;
                    let mut failures = Vec::new();
                    for n in 0.. {
                        if is_finished.load(Ordering::Relaxed) {
                            break;
                        }
                        routers.rotate_left(1);
                        match send_chat(&routers, &format!("c{c}-{n}"), 20, on_disconnect) {
                            Ok(_) => {
                                answered.fetch_add(1, Ordering::Relaxed);
                            }
                            Err(e) => failures.push(e),
                        }
                    }
                    failures
                })
            })
            .collect();
        let stop_guard = StopOnDrop(&is_finished);
        work();
        drop(stop_guard);
        let results = threads.into_iter().map(|t| t.join().unwrap());
        results.flatten().collect()
    });
    (answered.into_inner(), failures)
}
