//! Invariants of scheduling decisions under random event histories.

use std::collections::HashMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use smallvec::smallvec;
use wisteriapass_policy::{
    AccountInfo, Decision, FailureKind, HostedResource, LoadReport, Locality, Outcome,
    PolicyConfig, Priority, RequestInfo, RequiredResource, Scheduler, TargetInfo, TargetKey,
    TargetRole, Ticket, Time,
};

/// Number of targets; every third hosts only the second model.
const TARGETS: usize = 6;
/// Slots per target.
const SLOTS: u32 = 3;

/// An event of a history.
#[derive(Clone, Debug)]
enum Step {
    Offer {
        account: u8,
        class: u8,
        model: u8,
        tokens: u16,
        deadline_ms: u16,
        idempotent: bool,
    },
    Finish {
        index: u8,
    },
    Fail {
        index: u8,
        kind: u8,
    },
    Cancel {
        index: u8,
    },
    Report {
        target: u8,
        running: u8,
        age_ms: u16,
    },
    Leave {
        target: u8,
    },
    Advance {
        ms: u16,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Offer {
                account: u8::arbitrary(g),
                class: u8::arbitrary(g),
                model: u8::arbitrary(g),
                tokens: u16::arbitrary(g) % 500,
                deadline_ms: u16::arbitrary(g),
                idempotent: bool::arbitrary(g),
            },
            5 | 6 => Self::Finish {
                index: u8::arbitrary(g),
            },
            7 => Self::Fail {
                index: u8::arbitrary(g),
                kind: u8::arbitrary(g),
            },
            8 => Self::Cancel {
                index: u8::arbitrary(g),
            },
            9 => Self::Report {
                target: u8::arbitrary(g),
                running: u8::arbitrary(g),
                age_ms: u16::arbitrary(g),
            },
            10 if u8::arbitrary(g) % 8 == 0 => Self::Leave {
                target: u8::arbitrary(g),
            },
            _ => Self::Advance {
                ms: u16::arbitrary(g) % 2_000,
            },
        }
    }
}

/// A scheduler and the router's state of its tickets.
struct Router {
    scheduler: Scheduler,
    now: Time,
    targets: Vec<TargetInfo>,
    open: HashMap<Ticket, Request>,
    order: Vec<Ticket>,
}

/// The router's state of one request.
#[derive(Clone, Debug)]
struct Request {
    info: RequestInfo,
    model: usize,
    targets: Vec<TargetKey>,
    /// Whether the request may have run.
    may_have_run: bool,
}

impl Router {
    fn new() -> Self {
        let mut scheduler = Scheduler::new(PolicyConfig::default());
        let targets: Vec<TargetInfo> = (0..TARGETS).map(target).collect();
        let account = |a: u32| AccountInfo {
            name: format!("account-{a}"),
            weight: a + 1,
        };
        scheduler.set_targets(Time::default(), &targets);
        scheduler.set_accounts(&(0..4).map(account).collect::<Vec<_>>());
        scheduler.set_routers(2);
        let now = Time::from_secs(1);
        Self {
            scheduler,
            now,
            targets,
            open: HashMap::new(),
            order: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                account,
                class,
                model,
                tokens,
                deadline_ms,
                idempotent,
            } => {
                let model = usize::from(model % 2);
                let name = self.scheduler.name_key(&format!("model-{model}"));
                let wants = RequiredResource::Model {
                    model: name.unwrap(),
                    version: None,
                    adapter: None,
                };
                let account = self
                    .scheduler
                    .account_key(&format!("account-{}", account % 4));
                let info = RequestInfo {
                    account: account.unwrap(),
                    priority: Priority::ALL[usize::from(class % 3)],
                    resource: wants,
                    prompt_tokens: u32::from(tokens),
                    max_tokens: u32::from(tokens) + 1,
                    first_token_by: Time::MAX,
                    deadline: self.now.plus_secs(f64::from(deadline_ms) / 1e3),
                    idempotent,
                    prefix: Some(u64::from(tokens % 4)),
                    prefix_tokens: 0,
                    attempt: 0,
                };
                let (ticket, decision) = self.scheduler.offer(self.now, info);
                let request = Request {
                    info,
                    model,
                    targets: Vec::new(),
                    may_have_run: false,
                };
                if !matches!(decision, Decision::Refuse { .. }) {
                    self.open.insert(ticket, request);
                    self.order.push(ticket);
                }
                self.check(ticket, decision);
            }
            Step::Finish { index } => {
                if let Some((ticket, target)) = self.running_ticket(index) {
                    let outcome = Outcome { output_tokens: 5 };
                    self.scheduler.first_token(self.now, ticket, target);
                    self.scheduler
                        .run_finished(self.now, ticket, target, outcome);
                    self.open.remove(&ticket);
                }
            }
            Step::Fail { index, kind } => self.fail(index, kind),
            Step::Cancel { index } => {
                if let Some(ticket) = self.pick_ticket(index) {
                    self.scheduler.cancel(self.now, ticket);
                    self.open.remove(&ticket);
                }
            }
            Step::Report {
                target,
                running,
                age_ms,
            } => {
                let name = &self.targets[usize::from(target) % TARGETS].name;
                let key = self.scheduler.target_key(name);
                let report = LoadReport {
                    taken_at: self.now.plus_secs(-f64::from(age_ms) / 1e3),
                    running: u32::from(running) % (2 * SLOTS),
                    queued: 0,
                    interactive: 0,
                    of_receiver: 0,
                };
                if let Some(key) = key {
                    self.scheduler.record_load_report(self.now, key, report);
                }
            }
            Step::Leave { target } => {
                self.targets[usize::from(target) % TARGETS].leaving = true;
                self.scheduler.set_targets(self.now, &self.targets);
            }
            Step::Advance { ms } => self.now = self.now.plus_secs(f64::from(ms) / 1e3),
        }
        self.poll();
    }

    fn fail(&mut self, index: u8, kind: u8) {
        let Some((ticket, target)) = self.running_ticket(index) else {
            return;
        };
        let kind = [
            FailureKind::Unreachable,
            FailureKind::Declined,
            FailureKind::ConnectionLost,
            FailureKind::TargetError,
        ][usize::from(kind % 4)];
        let request = self.open.get_mut(&ticket).unwrap();
        request.targets.retain(|&t| t != target);
        request.may_have_run |= kind.may_have_run();
        let decision = self.scheduler.run_failed(self.now, ticket, target, kind);
        let may_not_retry = request.may_have_run && !request.info.idempotent;
        assert!(
            !may_not_retry || matches!(decision, Decision::Refuse { .. }),
            "retried a request that may have run: {decision:?}"
        );
        self.check(ticket, decision);
    }

    fn poll(&mut self) {
        for decided in self.scheduler.poll(self.now) {
            self.check(decided.ticket, decided.decision);
        }
        for request in self.open.values() {
            let late = request.targets.is_empty() && request.info.deadline < self.now;
            assert!(!late, "waits past its deadline: {request:?}");
        }
    }

    /// Checks a decision and applies it to the router's state.
    fn check(&mut self, ticket: Ticket, decision: Decision) {
        match decision {
            Decision::Wait { until } => assert!(until >= self.now),
            Decision::Refuse {
                retry_at: come_back,
                ..
            } => {
                assert!(come_back > self.now, "retry time is not in the future");
                self.open.remove(&ticket);
            }
            Decision::Run { target } | Decision::Hedge { target } => {
                let name = self
                    .scheduler
                    .target_name(target)
                    .expect("the target is known");
                let target_info = self.targets.iter().find(|t| t.name == name).unwrap();
                assert!(!target_info.leaving, "sent to a leaving target");
                assert!(
                    self.scheduler.in_flight(target) <= SLOTS,
                    "more requests than slots"
                );
                let request = self.open.get_mut(&ticket).expect("the ticket is open");
                assert!(
                    holds(target_info, request.model),
                    "sent to a target without its model"
                );
                assert!(
                    !request.targets.contains(&target),
                    "sent twice to the same target"
                );
                let hedge = matches!(decision, Decision::Hedge { .. });
                assert!(
                    !hedge || request.info.idempotent,
                    "hedged a non-idempotent request"
                );
                request.targets.push(target);
            }
        }
    }

    fn pick_ticket(&self, index: u8) -> Option<Ticket> {
        let open: Vec<_> = self
            .order
            .iter()
            .filter(|t| self.open.contains_key(t))
            .collect();
        (!open.is_empty()).then(|| *open[usize::from(index) % open.len()])
    }

    fn running_ticket(&self, index: u8) -> Option<(Ticket, TargetKey)> {
        let ticket = self.pick_ticket(index)?;
        Some((ticket, *self.open[&ticket].targets.first()?))
    }
}

fn target(n: usize) -> TargetInfo {
    let model = |m: usize| HostedResource::Model {
        name: format!("model-{m}"),
        version: "1".into(),
        adapters: Vec::new(),
    };
    TargetInfo {
        name: format!("engine-{n}"),
        locality: Locality::SameDomain,
        role: TargetRole::General,
        resources: if n.is_multiple_of(3) {
            smallvec![model(1)]
        } else {
            smallvec![model(0), model(1)]
        },
        slots: SLOTS,
        tokens_per_s: 300,
        leaving: false,
    }
}

fn holds(target_info: &TargetInfo, model: usize) -> bool {
    let name = format!("model-{model}");
    target_info
        .resources
        .iter()
        .any(|h| matches!(h, HostedResource::Model { name: n, .. } if *n == name))
}

/// Checks a property on random histories, the same ones in each run.
fn check_random_histories(property: fn(Vec<Step>)) {
    let generator = Gen::from_size_and_seed(200, 11);
    QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(property);
}

#[test]
fn decisions_respect_deadlines_and_limits() {
    check_random_histories(|steps| {
        let mut router = Router::new();
        for step in &steps {
            router.step(step);
        }
        // Every waiting ticket gets its final decision by its deadline.
        router.now = router.now.plus_secs(200.0);
        router.poll();
    });
}

#[test]
fn requests_in_flight_are_counted_exactly() {
    check_random_histories(|steps| {
        let mut router = Router::new();
        for step in &steps {
            router.step(step);
        }
        for target_info in &router.targets {
            let Some(key) = router.scheduler.target_key(&target_info.name) else {
                continue;
            };
            let in_flight = router
                .open
                .values()
                .filter(|r| r.targets.contains(&key))
                .count();
            assert_eq!(
                router.scheduler.in_flight(key) as usize,
                in_flight,
                "{}",
                target_info.name
            );
        }
    });
}
