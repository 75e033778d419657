//! Cost of one decision, by targets and queue length.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};

use smallvec::smallvec;
use wisteriapass_policy::{
    AccountInfo, AccountKey, Decision, HostedResource, LoadReport, Locality, Outcome, PolicyConfig,
    Priority, RequestInfo, RequiredResource, Scheduler, TargetInfo, TargetKey, TargetRole, Ticket,
    Time,
};

/// Requests of one batch; the batch with the median cost counts.
const BATCH: u64 = 2_000;
/// Batches of one measurement.
const BATCHES: u64 = 41;
/// Accounts that the requests come from.
const ACCOUNTS: usize = 32;
/// Work of each request, in tokens.
const TOKENS: u32 = 100;

/// Prints the cost by targets and by queue length.
pub(super) fn print() {
    for targets in [8, 32, 128] {
        for queue in [0, 100, 1_000] {
            let mut bench = Bench::new(targets);
            let cost = bench.measure(targets, queue);
            println!(
                "{{\"targets\":{targets},\"queue\":{queue},\"decision_ns\":{:.0},\"least_ns\":{:.0},\"feedback_ns\":{:.0}}}",
                cost.decision_ns, cost.least_ns, cost.feedback_ns
            );
        }
    }
}

/// Mean times of one request's calls, in nanoseconds.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Its offer and a poll.
    decision_ns: f64,
    /// The same in the fastest batch, which other work disturbed least.
    least_ns: f64,
    /// A cache hint, a load report and its end.
    feedback_ns: f64,
}

/// A scheduler with requests that come and end.
struct Bench {
    scheduler: Scheduler,
    now: Time,
    wants: RequiredResource,
    targets: Vec<TargetKey>,
    accounts: Vec<AccountKey>,
    running: VecDeque<(Ticket, TargetKey)>,
}

impl Bench {
    fn new(targets: usize) -> Self {
        let scheduler = filled(targets);
        let model = scheduler
            .name_key("model")
            .unwrap_or_else(|| unreachable!("the targets hold it"));
        let target = |t| scheduler.target_key(&format!("engine-{t}"));
        let account = |a| scheduler.account_key(&format!("account-{a}"));
        Self {
            now: Time::from_secs(1),
            wants: RequiredResource::Model {
                model,
                version: None,
                adapter: None,
            },
            targets: (0..targets).filter_map(target).collect(),
            accounts: (0..ACCOUNTS).filter_map(account).collect(),
            running: VecDeque::new(),
            scheduler,
        }
    }

    /// Returns the mean cost with a queue of this length and all slots busy, or half of them.
    fn measure(&mut self, targets: usize, queue: usize) -> Cost {
        let slots = if queue > 0 { targets * 16 } else { targets * 8 };
        let fill = (slots + queue) as u64;
        for n in 0..fill {
            self.decide(n);
        }
        let batch = |b: u64| fill + b * BATCH..fill + (b + 1) * BATCH;
        let mut costs: Vec<Cost> = (0..BATCHES).map(|b| self.batch(batch(b))).collect();
        costs.sort_by(|a, b| a.decision_ns.total_cmp(&b.decision_ns));
        Cost {
            least_ns: costs[0].decision_ns,
            ..costs[costs.len() / 2]
        }
    }

    /// Returns the mean cost of some requests.
    fn batch(&mut self, numbers: Range<u64>) -> Cost {
        let (mut decision, mut feedback) = (Duration::ZERO, Duration::ZERO);
        for n in numbers {
            let start = Instant::now();
            self.decide(n);
            let decided = Instant::now();
            self.feed(n);
            decision += decided - start;
            feedback += decided.elapsed();
        }
        let mean = |d: Duration| d.as_nanos() as f64 / BATCH as f64;
        Cost {
            decision_ns: mean(decision),
            least_ns: mean(decision),
            feedback_ns: mean(feedback),
        }
    }

    /// Offers a request and polls.
    fn decide(&mut self, n: u64) {
        self.now = self.now.plus_secs(1e-4);
        let facts = RequestInfo {
            account: self.accounts[n as usize % ACCOUNTS],
            priority: Priority::ALL[n as usize % 3],
            resource: self.wants,
            prompt_tokens: TOKENS,
            max_tokens: TOKENS,
            first_token_by: Time::MAX,
            deadline: Time::MAX,
            idempotent: true,
            prefix: Some(n % 50),
            prefix_tokens: TOKENS / 2,
            attempt: 0,
        };
        let (ticket, decision) = self.scheduler.offer(self.now, facts);
        if let Decision::Run { target } = decision {
            self.running.push_back((ticket, target));
        }
        for d in self.scheduler.poll(self.now) {
            if let Decision::Run { target } = d.decision {
                self.running.push_back((d.ticket, target));
            }
        }
    }

    /// Gives a hint and a report, and ends the oldest run.
    fn feed(&mut self, n: u64) {
        let key = self.targets[n as usize % self.targets.len()];
        self.scheduler
            .record_cache_hint(self.now, key, n % 50, !n.is_multiple_of(3));
        let in_flight = self.scheduler.in_flight(key);
        let report = LoadReport {
            taken_at: self.now,
            running: in_flight,
            queued: 0,
            interactive: 0,
            of_receiver: in_flight,
        };
        self.scheduler.record_load_report(self.now, key, report);
        if let Some((ticket, target)) = self.running.pop_front() {
            let outcome = Outcome {
                output_tokens: TOKENS,
            };
            self.scheduler
                .run_finished(self.now, ticket, target, outcome);
        }
    }
}

/// Creates a scheduler with this many targets.
fn filled(targets: usize) -> Scheduler {
    let mut cfg = PolicyConfig::default();
    // The queue's length is what is measured, so nothing is refused.
    cfg.parts.admission = false;
    cfg.parts.shedding = false;
    let mut scheduler = Scheduler::new(cfg);
    let model = HostedResource::Model {
        name: "model".into(),
        version: "1".into(),
        adapters: Vec::new(),
    };
    let facts = |t| TargetInfo {
        name: format!("engine-{t}"),
        locality: Locality::SameDomain,
        role: TargetRole::General,
        resources: smallvec![model.clone()],
        slots: 16,
        tokens_per_s: 1_000,
        leaving: false,
    };
    let facts: Vec<TargetInfo> = (0..targets).map(facts).collect();
    let account = |a| AccountInfo {
        name: format!("account-{a}"),
        weight: 1,
    };
    let accounts: Vec<AccountInfo> = (0..ACCOUNTS).map(account).collect();
    scheduler.set_targets(Time::default(), &facts);
    scheduler.set_accounts(&accounts);
    scheduler
}
