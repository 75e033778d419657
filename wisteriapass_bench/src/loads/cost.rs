//! Cost of one decision, by targets and queue length.

use std::time::Instant;

use smallvec::smallvec;
use wisteriapass_policy::{
    AccountFacts, Held, LoadReport, Nearness, Outcome, PolicyConfig, Priority, RequestFacts,
    Scheduler, TargetFacts, TargetRole, Time, Wants,
};

/// Decisions of one measurement.
const DECISIONS: u64 = 200_000;
/// Accounts that the requests come from.
const ACCOUNTS: usize = 32;
/// Work of each request, in tokens.
const TOKENS: u32 = 100;

/// Prints the cost by targets and by queue length.
pub(super) fn print() {
    for targets in [8, 32, 128] {
        for queue in [0, 100, 1_000] {
            let ns = measure(targets, queue);
            println!("{{\"targets\":{targets},\"queue\":{queue},\"ns_a_decision\":{ns:.0}}}");
        }
    }
}

/// Returns the mean time of all calls for one request, in nanoseconds: a hint, a report, its offer,
/// a poll and its end.
fn measure(targets: usize, queue: usize) -> f64 {
    let mut scheduler = filled(targets);
    let mut now = Time::from_secs(1);
    let model = scheduler
        .name("model")
        .unwrap_or_else(|| unreachable!("the targets hold it"));
    let wants = Wants::Model {
        model,
        version: None,
        adapter: None,
    };
    let accounts: Vec<_> = (0..ACCOUNTS)
        .filter_map(|a| scheduler.account(&format!("account-{a}")))
        .collect();
    let mut running = std::collections::VecDeque::new();
    let slots = if queue > 0 { targets * 16 } else { targets * 8 };
    let start = slots + queue;
    let mut started = Instant::now();
    let keys: Vec<_> = (0..targets)
        .filter_map(|t| scheduler.target(&format!("engine-{t}")))
        .collect();
    for n in 0..start as u64 + DECISIONS {
        if n == start as u64 {
            started = Instant::now();
        }
        now = now.plus_secs(1e-4);
        let key = keys[n as usize % targets];
        scheduler.cache_hint(now, key, n % 50, n % 3 > 0);
        let report = LoadReport {
            taken_at: now,
            running: scheduler.in_flight(key),
            queued: 0,
            interactive: 0,
            of_receiver: scheduler.in_flight(key),
        };
        scheduler.load_report(now, key, report);
        let facts = RequestFacts {
            account: accounts[n as usize % ACCOUNTS],
            priority: Priority::ALL[n as usize % 3],
            wants,
            prompt_tokens: TOKENS,
            max_tokens: TOKENS,
            begin_by: Time::MAX,
            deadline: Time::MAX,
            idempotent: true,
            prefix: Some(n % 50),
            prefix_tokens: TOKENS / 2,
            attempt: 0,
        };
        let (ticket, decision) = scheduler.offer(now, facts);
        if let wisteriapass_policy::Decision::Run { target } = decision {
            running.push_back((ticket, target));
        }
        for d in scheduler.poll(now) {
            if let wisteriapass_policy::Decision::Run { target } = d.decision {
                running.push_back((d.ticket, target));
            }
        }
        if n < start as u64 {
            continue;
        }
        if let Some((ticket, target)) = running.pop_front() {
            scheduler.finished(
                now,
                ticket,
                target,
                Outcome {
                    output_tokens: TOKENS,
                },
            );
        }
    }
    started.elapsed().as_nanos() as f64 / DECISIONS as f64
}

/// Creates a scheduler with this many targets.
fn filled(targets: usize) -> Scheduler {
    let mut cfg = PolicyConfig::default();
    // The queue's length is what is measured, so nothing is refused.
    cfg.parts.admission = false;
    cfg.parts.shedding = false;
    let mut scheduler = Scheduler::new(cfg);
    let model = Held::Model {
        name: "model".into(),
        version: "1".into(),
        adapters: Vec::new(),
    };
    let facts = |t| TargetFacts {
        name: format!("engine-{t}"),
        nearness: Nearness::SameDomain,
        role: TargetRole::General,
        holds: smallvec![model.clone()],
        slots: 16,
        tokens_per_s: 1_000,
        leaving: false,
    };
    let facts: Vec<TargetFacts> = (0..targets).map(facts).collect();
    let account = |a| AccountFacts {
        name: format!("account-{a}"),
        weight: 1,
    };
    let accounts: Vec<AccountFacts> = (0..ACCOUNTS).map(account).collect();
    scheduler.set_targets(Time::default(), &facts);
    scheduler.set_accounts(&accounts);
    scheduler
}
