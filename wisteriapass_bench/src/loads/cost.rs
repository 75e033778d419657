//! Measures the cost of a scheduling decision by number of targets and queue length.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};

use smallvec::smallvec;
use wisteriapass_policy::{
    AccountInfo, AccountKey, Decision, HostedResource, LoadReport, Locality, Outcome, PolicyConfig,
    Priority, RequestInfo, RequiredResource, Scheduler, TargetInfo, TargetKey, TargetRole, Ticket,
    Time,
};

/// Requests per batch; the batch with the median cost is reported.
const BATCH_REQUESTS: u64 = 2_000;
/// Batches per measurement.
const BATCHES: u64 = 41;
/// Accounts that send the requests.
const ACCOUNTS: usize = 32;
/// Prompt tokens and output tokens of each request.
const REQUEST_TOKENS: u32 = 100;

/// Prints one JSON line per number of targets and queue length.
pub(super) fn print() {
    for targets in [8, 32, 128] {
        for queue in [0, 100, 1_000] {
            let mut bench = DecisionBench::new(targets);
            let cost = bench.measure(targets, queue);
            println!(
                "{{\"targets\":{targets},\"queue\":{queue},\"decision_ns\":{:.0},\"least_ns\":{:.0},\"feedback_ns\":{:.0}}}",
                cost.decision_ns, cost.least_ns, cost.feedback_ns
            );
        }
    }
}

/// Mean duration of the scheduler calls for one request, in nanoseconds.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Offering the request and polling.
    decision_ns: f64,
    /// The same in the fastest batch, which was least disturbed by other load on the machine.
    least_ns: f64,
    /// Recording a cache hint, a load report and the end of a run.
    feedback_ns: f64,
}

/// A scheduler under a load of arriving and ending requests.
struct DecisionBench {
    scheduler: Scheduler,
    now: Time,
    resource: RequiredResource,
    targets: Vec<TargetKey>,
    accounts: Vec<AccountKey>,
    running: VecDeque<(Ticket, TargetKey)>,
}

impl DecisionBench {
    fn new(targets: usize) -> Self {
        let scheduler = new_scheduler(targets);
        let model = scheduler
            .name_key("model")
            .unwrap_or_else(|| unreachable!("the targets serve this model"));
        let target = |t| scheduler.target_key(&format!("engine-{t}"));
        let account = |a| scheduler.account_key(&format!("account-{a}"));
        Self {
            now: Time::from_secs(1),
            resource: RequiredResource::Model {
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

    /// Returns the cost with a queue of this length and all slots busy, or with half of the slots
    /// busy if `queue` is zero.
    fn measure(&mut self, targets: usize, queue: usize) -> Cost {
        let slots = if queue > 0 { targets * 16 } else { targets * 8 };
        let warm_up = (slots + queue) as u64;
        for n in 0..warm_up {
            self.offer_request(n);
        }
        let numbers = |b: u64| warm_up + b * BATCH_REQUESTS..warm_up + (b + 1) * BATCH_REQUESTS;
        let mut costs: Vec<Cost> = (0..BATCHES)
            .map(|b| self.measure_batch(numbers(b)))
            .collect();
        costs.sort_by(|a, b| a.decision_ns.total_cmp(&b.decision_ns));
        Cost {
            least_ns: costs[0].decision_ns,
            ..costs[costs.len() / 2]
        }
    }

    /// Returns the mean cost over the requests with these numbers.
    fn measure_batch(&mut self, numbers: Range<u64>) -> Cost {
        let (mut decision, mut feedback) = (Duration::ZERO, Duration::ZERO);
        for n in numbers {
            let start = Instant::now();
            self.offer_request(n);
            let decided = Instant::now();
            self.record_feedback(n);
            decision += decided - start;
            feedback += decided.elapsed();
        }
        let mean = |d: Duration| d.as_nanos() as f64 / BATCH_REQUESTS as f64;
        Cost {
            decision_ns: mean(decision),
            least_ns: mean(decision),
            feedback_ns: mean(feedback),
        }
    }

    /// Offers a request and polls the scheduler.
    fn offer_request(&mut self, n: u64) {
        self.now = self.now.plus_secs(1e-4);
        let request = RequestInfo {
            account: self.accounts[n as usize % ACCOUNTS],
            priority: Priority::ALL[n as usize % 3],
            resource: self.resource,
            prompt_tokens: REQUEST_TOKENS,
            max_tokens: REQUEST_TOKENS,
            first_token_by: Time::MAX,
            deadline: Time::MAX,
            idempotent: true,
            prefix: Some(n % 50),
            prefix_tokens: REQUEST_TOKENS / 2,
            attempt: 0,
        };
        let (ticket, decision) = self.scheduler.offer(self.now, request);
        if let Decision::Run { target } = decision {
            self.running.push_back((ticket, target));
        }
        for d in self.scheduler.poll(self.now) {
            if let Decision::Run { target } = d.decision {
                self.running.push_back((d.ticket, target));
            }
        }
    }

    /// Records a cache hint and a load report and ends the oldest run.
    fn record_feedback(&mut self, n: u64) {
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
                output_tokens: REQUEST_TOKENS,
            };
            self.scheduler
                .run_finished(self.now, ticket, target, outcome);
        }
    }
}

/// Creates a scheduler with the given number of targets.
fn new_scheduler(targets: usize) -> Scheduler {
    let mut cfg = PolicyConfig::default();
    // Refusals would change the queue length, which is a parameter of the measurement.
    cfg.parts.admission = false;
    cfg.parts.shedding = false;
    let mut scheduler = Scheduler::new(cfg);
    let model = HostedResource::Model {
        name: "model".into(),
        version: "1".into(),
        adapters: Vec::new(),
    };
    let target_info = |t| TargetInfo {
        name: format!("engine-{t}"),
        locality: Locality::SameDomain,
        role: TargetRole::General,
        resources: smallvec![model.clone()],
        slots: 16,
        tokens_per_s: 1_000,
        leaving: false,
    };
    let target_infos: Vec<TargetInfo> = (0..targets).map(target_info).collect();
    let account = |a| AccountInfo {
        name: format!("account-{a}"),
        weight: 1,
    };
    let accounts: Vec<AccountInfo> = (0..ACCOUNTS).map(account).collect();
    scheduler.set_targets(Time::default(), &target_infos);
    scheduler.set_accounts(&accounts);
    scheduler
}
