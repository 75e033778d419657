//! Sends requests and applies configuration edits at a steady rate while a fleet is measured.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{Scope, sleep};
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::slopes::size::Size;
use wisteriapass_daemon::rpc::{ControlClient, RpcClient};

/// Timeout of one request, in seconds.
const REQUEST_TIMEOUT_SECS: u64 = 30;

/// Timeout for an edit to be in force at every process.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Counts of the outcomes of requests.
#[derive(Debug, Default)]
pub struct RequestCounts {
    /// Requests with a complete answer.
    pub answers: AtomicUsize,
    /// All other requests.
    pub failures: AtomicUsize,
}

/// Sends requests at the rate of `size` until `until`, each on its own thread.
pub fn send_requests<'s>(
    scope: &'s Scope<'s, '_>,
    fleet: &Fleet,
    size: Size,
    counts: &'s RequestCounts,
    until: Instant,
) {
    if size.requests_a_second == 0 {
        return;
    }
    let routers = fleet.router_addrs();
    let interval = Duration::from_secs(1) / u32::try_from(size.requests_a_second).unwrap_or(1);
    scope.spawn(move || {
        let mut next_at = Instant::now();
        for n in 0_usize.. {
            next_at += interval;
            if next_at >= until {
                return;
            }
            sleep(next_at.saturating_duration_since(Instant::now()));
            let router = routers[n % routers.len()];
            let account = n % size.budgets;
            scope.spawn(move || send_request(router, account, n, size.tokens, counts));
        }
    });
}

fn send_request(
    router: SocketAddr,
    account: usize,
    n: usize,
    tokens: usize,
    counts: &RequestCounts,
) {
    let body = format!(
        r#"{{"model":"wisteria-8b","max_tokens":{tokens},"messages":[{{"role":"user","content":"question {n} tokens={tokens}"}}]}}"#
    );
    let answer = minreq::post(format!("http://{router}/v1/chat/completions"))
        .with_header("authorization", format!("Bearer key-of-account-{account}"))
        .with_header("connection", "close")
        .with_body(body)
        .with_timeout(REQUEST_TIMEOUT_SECS)
        .send();
    match answer {
        Ok(a) if a.status_code == 200 => counts.answers.fetch_add(1, Ordering::Relaxed),
        _ => counts.failures.fetch_add(1, Ordering::Relaxed),
    };
}

/// Applies edits at the rate of `size` until `until` and returns the time until each was in force
/// at every process, in milliseconds.
pub fn apply_edits(fleet: &Fleet, size: Size, until: Instant) -> Vec<u64> {
    let mut durations_ms = Vec::new();
    let Ok(client) = RpcClient::new() else {
        return durations_ms;
    };
    if size.edits_a_minute == 0 {
        return durations_ms;
    }
    let interval = Duration::from_secs(60) / u32::try_from(size.edits_a_minute).unwrap_or(1);
    let addresses = control_addresses(fleet);
    while Instant::now() < until {
        let started = Instant::now();
        if let Ok(revision) = fleet.apply(fleet.document()) {
            wait_in_force(&client, &addresses, revision, started);
            durations_ms.push(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
        }
        sleep((started + interval).saturating_duration_since(Instant::now()));
    }
    durations_ms
}

fn wait_in_force(client: &RpcClient, addresses: &[SocketAddr], revision: u64, started: Instant) {
    let mut remaining = addresses.to_vec();
    while !remaining.is_empty() && started.elapsed() < IN_FORCE_TIMEOUT {
        let mut outdated = Vec::new();
        let call = |c| async move { ControlClient::status(&c).await };
        client.call_all(&remaining, call, |address, status| {
            if status.is_ok_and(|s| s.revision >= revision) {
                return;
            }
            outdated.push(address);
        });
        remaining = outdated;
    }
}

/// Returns the control addresses that bypass the links, so that status calls add no measured
/// bytes.
fn control_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let names = fleet.router_names().into_iter().chain(fleet.side_names());
    let control = |n: String| Some(fleet.daemon(&n).ok()?.settings().control);
    names.filter_map(control).collect()
}
