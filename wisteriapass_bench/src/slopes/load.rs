//! Requests at a steady rate and edits while a fleet is measured.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{Scope, sleep};
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::slopes::size::Size;
use wisteriapass_daemon::rpc::{ControlClient, RpcClient};

/// Longest wait for one answer, in seconds.
const ANSWER_S: u64 = 30;

/// Longest wait for an edit to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(15);

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Tally {
    /// Whole answers.
    pub answers: AtomicUsize,
    /// Anything else.
    pub failures: AtomicUsize,
}

/// Sends requests at the size's rate until `until`, each on a thread of its own.
pub fn send<'s>(
    scope: &'s Scope<'s, '_>,
    fleet: &Fleet,
    size: Size,
    tally: &'s Tally,
    until: Instant,
) {
    if size.requests_a_second == 0 {
        return;
    }
    let routers = fleet.router_addrs();
    let pause = Duration::from_secs(1) / u32::try_from(size.requests_a_second).unwrap_or(1);
    scope.spawn(move || {
        let mut next_at = Instant::now();
        for n in 0_usize.. {
            next_at += pause;
            if next_at >= until {
                return;
            }
            sleep(next_at.saturating_duration_since(Instant::now()));
            let router = routers[n % routers.len()];
            let account = n % size.budgets;
            scope.spawn(move || ask(router, account, n, size.tokens, tally));
        }
    });
}

fn ask(router: SocketAddr, account: usize, n: usize, tokens: usize, tally: &Tally) {
    let body = format!(
        r#"{{"model":"wisteria-8b","max_tokens":{tokens},"messages":[{{"role":"user","content":"question {n} tokens={tokens}"}}]}}"#
    );
    let answer = minreq::post(format!("http://{router}/v1/chat/completions"))
        .with_header("authorization", format!("Bearer key-of-account-{account}"))
        .with_header("connection", "close")
        .with_body(body)
        .with_timeout(ANSWER_S)
        .send();
    match answer {
        Ok(a) if a.status_code == 200 => tally.answers.fetch_add(1, Ordering::Relaxed),
        _ => tally.failures.fetch_add(1, Ordering::Relaxed),
    };
}

/// Makes edits at the size's rate until `until`; returns how long each took to be in force
/// everywhere, in milliseconds.
pub fn edit(fleet: &Fleet, size: Size, until: Instant) -> Vec<u64> {
    let mut took = Vec::new();
    let Ok(caller) = RpcClient::new() else {
        return took;
    };
    if size.edits_a_minute == 0 {
        return took;
    }
    let pause = Duration::from_secs(60) / u32::try_from(size.edits_a_minute).unwrap_or(1);
    let all = controls(fleet);
    while Instant::now() < until {
        let started = Instant::now();
        if let Ok(revision) = fleet.apply(fleet.document()) {
            wait_in_force(&caller, &all, revision, started);
            took.push(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
        }
        sleep((started + pause).saturating_duration_since(Instant::now()));
    }
    took
}

fn wait_in_force(caller: &RpcClient, all: &[SocketAddr], revision: u64, started: Instant) {
    let mut left = all.to_vec();
    while !left.is_empty() && started.elapsed() < IN_FORCE {
        let mut behind = Vec::new();
        let call = |c| async move { ControlClient::status(&c).await };
        caller.call_all(&left, call, |address, status| {
            if status.is_ok_and(|s| s.revision >= revision) {
                return;
            }
            behind.push(address);
        });
        left = behind;
    }
}

/// Returns the control addresses past the links, so that looking costs no measured bytes.
fn controls(fleet: &Fleet) -> Vec<SocketAddr> {
    let names = fleet.router_names().into_iter().chain(fleet.side_names());
    let control = |n: String| Some(fleet.daemon(&n).ok()?.settings().control);
    names.filter_map(control).collect()
}
