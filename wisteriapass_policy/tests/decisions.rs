//! Individual decisions: retries, health, admission and orders.

use smallvec::smallvec;
use wisteriapass_policy::{
    AccountInfo, Decision, FailureKind, Features, HostedResource, Locality, ModelDemand, Order,
    OrderKind, OrderPlanner, OrdersConfig, Outcome, PolicyConfig, Priority, Refusal, RequestInfo,
    RequiredResource, Scheduler, TargetInfo, TargetKey, TargetRole, Time,
};

/// Creates a scheduler with targets that host one model, and one account.
fn scheduler(cfg: PolicyConfig, targets: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(cfg);
    let targets: Vec<TargetInfo> = (0..targets).map(|n| target(n, "model")).collect();
    scheduler.set_targets(Time::default(), &targets);
    scheduler.set_accounts(&[AccountInfo {
        name: "account".into(),
        weight: 1,
    }]);
    scheduler
}

fn target(n: usize, model: &str) -> TargetInfo {
    TargetInfo {
        name: format!("engine-{n}"),
        locality: Locality::SameDomain,
        role: TargetRole::General,
        resources: smallvec![HostedResource::Model {
            name: model.into(),
            version: "1".into(),
            adapters: vec!["adapter".into()],
        }],
        slots: 4,
        tokens_per_s: 400,
        leaving: false,
    }
}

fn standard_request(scheduler: &Scheduler, idempotent: bool) -> RequestInfo {
    let model = scheduler.name_key("model").expect("a target hosts it");
    RequestInfo {
        account: scheduler
            .account_key("account")
            .expect("the scheduler knows it"),
        priority: Priority::Standard,
        resource: RequiredResource::Model {
            model,
            version: None,
            adapter: None,
        },
        prompt_tokens: 10,
        max_tokens: 100,
        first_token_by: Time::MAX,
        deadline: Time::from_secs(60),
        idempotent,
        prefix: None,
        prefix_tokens: 0,
        attempt: 0,
    }
}

fn run_target(decision: Decision) -> TargetKey {
    match decision {
        Decision::Run { target } => target,
        other => panic!("not run: {other:?}"),
    }
}

fn refusal_reason(decision: Decision) -> Refusal {
    match decision {
        Decision::Refuse { reason, .. } => reason,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn non_idempotent_work_that_may_have_run_is_not_retried() {
    let now = Time::from_secs(1);
    let mut s = scheduler(PolicyConfig::default(), 2);
    let request = standard_request(&s, false);
    let (ticket, decision) = s.offer(now, request);
    let target = run_target(decision);
    let after = s.run_failed(now, ticket, target, FailureKind::ConnectionLost);
    assert_eq!(refusal_reason(after), Refusal::NotRetryable);
}

#[test]
fn work_that_did_not_run_is_retried_even_if_not_idempotent() {
    let now = Time::from_secs(1);
    let mut s = scheduler(PolicyConfig::default(), 2);
    let request = standard_request(&s, false);
    let (ticket, decision) = s.offer(now, request);
    let target = run_target(decision);
    run_target(s.run_failed(now, ticket, target, FailureKind::Unreachable));
}

#[test]
fn retries_end_with_their_budget() {
    let now = Time::from_secs(1);
    let cfg = PolicyConfig {
        try_burst: 2.0,
        failures_to_avoid: 1_000,
        ..PolicyConfig::default()
    };
    let mut s = scheduler(cfg, 4);
    let request = standard_request(&s, true);
    let (ticket, mut decision) = s.offer(now, request);
    for _ in 0..2 {
        let target = run_target(decision);
        decision = s.run_failed(now, ticket, target, FailureKind::TargetError);
    }
    let target = run_target(decision);
    let last = s.run_failed(now, ticket, target, FailureKind::TargetError);
    assert_eq!(refusal_reason(last), Refusal::RetryBudgetSpent);
}

#[test]
fn silent_target_is_avoided_and_its_work_moves() {
    let mut now = Time::from_secs(1);
    let mut s = scheduler(PolicyConfig::default(), 2);
    let request = standard_request(&s, true);
    let (ticket, decision) = s.offer(now, request);
    let silent = run_target(decision);
    now = now.plus_secs(10.0);
    let decided = s.poll(now);
    assert!(s.is_avoided(now, silent));
    let moved = decided.iter().find(|d| d.ticket == ticket);
    assert!(
        matches!(moved.map(|d| d.decision), Some(Decision::Hedge { target }) if target != silent)
    );
}

#[test]
fn failing_target_comes_back_in_small_steps() {
    let mut now = Time::from_secs(1);
    let mut s = scheduler(PolicyConfig::default(), 1);
    let request = standard_request(&s, true);
    let (ticket, decision) = s.offer(now, request);
    let target = run_target(decision);
    s.run_failed(now, ticket, target, FailureKind::Silent);
    assert!(s.is_avoided(now, target));
    s.cancel(now, ticket);
    now = now.plus_secs(5.0);
    let first = s.offer(now, request);
    run_target(first.1);
    let second = s.offer(now, request);
    assert!(
        matches!(second.1, Decision::Wait { .. }),
        "more than one request in re-entry: {second:?}"
    );
    for _ in 0..10 {
        now = now.plus_secs(1.0);
        let (ticket, decision) = s.offer(now, request);
        let Decision::Run { target } = decision else {
            s.cancel(now, ticket);
            s.run_finished(now, first.0, target, Outcome { output_tokens: 50 });
            continue;
        };
        s.run_finished(now, ticket, target, Outcome { output_tokens: 50 });
    }
    assert!(!s.is_avoided(now, target));
}

#[test]
fn adapter_that_no_target_holds_is_refused() {
    let now = Time::from_secs(1);
    let mut s = scheduler(PolicyConfig::default(), 1);
    let mut request = standard_request(&s, true);
    let (model, adapter) = (
        s.name_key("model").expect("a target hosts it"),
        s.name_key("1").expect("a target hosts it"),
    );
    request.resource = RequiredResource::Model {
        model,
        version: None,
        adapter: Some(adapter),
    };
    assert_eq!(refusal_reason(s.offer(now, request).1), Refusal::NoTarget);
}

#[test]
fn full_queue_refuses_at_once_with_increasing_retry_times() {
    let now = Time::from_secs(1);
    let mut s = scheduler(PolicyConfig::default(), 1);
    let mut request = standard_request(&s, true);
    request.deadline = Time::from_secs(6);
    let mut times = Vec::new();
    for _ in 0..60 {
        if let Decision::Refuse {
            retry_at: come_back,
            ..
        } = s.offer(now, request).1
        {
            times.push(come_back);
        }
    }
    assert!(times.len() > 10, "{times:?}");
    assert!(times.windows(2).all(|w| w[0] < w[1]), "{times:?}");
}

#[test]
fn refusals_have_stable_names() {
    let names: Vec<String> = Refusal::ALL.iter().map(Refusal::to_string).collect();
    let expected = [
        "unknown_account",
        "no_target",
        "targets_unwell",
        "deadline_too_short",
        "pool_busy",
        "over_fair_share",
        "shed",
        "waited_too_long",
        "not_retryable",
        "retry_budget_spent",
    ];
    assert_eq!(names, expected);
}

#[test]
fn each_part_can_be_switched_off() {
    for name in Features::NAMES {
        assert_ne!(
            Features::default().without(name),
            Some(Features::default()),
            "{name}"
        );
    }
    assert_eq!(Features::default().without("nothing"), None);
}

/// Demand for two models, as shares of the rate of their targets.
fn demands(s: &Scheduler, first: f64, second: f64) -> [ModelDemand; 2] {
    let key = |n: usize| {
        s.target_key(&format!("engine-{n}"))
            .expect("the scheduler knows it")
    };
    let model = |name: &str| s.name_key(name).expect("a target hosts it");
    let demand = |name: &str, from: usize, share: f64| ModelDemand {
        model: model(name),
        offered: share * 800.0,
        targets: vec![(key(from), 400.0), (key(from + 1), 400.0)],
    };
    [demand("model", 0, first), demand("other", 2, second)]
}

#[test]
fn orders_wait_for_lasting_demand_and_the_load_interval() {
    let mut s = Scheduler::new(PolicyConfig::default());
    let all = [
        target(0, "model"),
        target(1, "model"),
        target(2, "other"),
        target(3, "other"),
    ];
    s.set_targets(Time::default(), &all);
    let mut planner = OrderPlanner::new(OrdersConfig::default());
    let at = Time::from_secs;
    assert_eq!(planner.decide(at(10), &demands(&s, 1.5, 0.1)), None);
    assert_eq!(planner.decide(at(20), &demands(&s, 0.5, 0.1)), None);
    assert_eq!(planner.decide(at(30), &demands(&s, 1.5, 0.1)), None);
    let due = planner.decide(at(61), &demands(&s, 1.5, 0.1));
    let kind = OrderKind::Swap {
        unload: s.name_key("other").expect("a target hosts it"),
        load: s.name_key("model").expect("a target hosts it"),
    };
    let target = s.target_key("engine-3").expect("the scheduler knows it");
    assert_eq!(due, Some(Order { target, kind }));
    assert_eq!(
        planner.decide(at(100), &demands(&s, 1.5, 0.1)),
        None,
        "within the load interval"
    );
    assert_eq!(
        planner.decide(at(160), &demands(&s, 1.5, 0.6)),
        None,
        "no target to spare"
    );
}

#[test]
fn cancelled_requests_no_longer_count_as_work_ahead() {
    let now = Time::from_secs(1);
    let mut s = scheduler(PolicyConfig::default(), 1);
    let mut request = standard_request(&s, true);
    request.deadline = Time::from_secs(20);
    let mut waiting = Vec::new();
    let refused = loop {
        match s.offer(now, request) {
            (ticket, Decision::Wait { .. }) => waiting.push(ticket),
            (_, Decision::Refuse { reason, .. }) => break reason,
            _ => {}
        }
    };
    assert_ne!(refused, Refusal::NoTarget);
    assert!(waiting.len() > 2, "{waiting:?}");
    for &ticket in &waiting[1..] {
        s.cancel(now, ticket);
    }
    assert_eq!(s.waiting_count(), 1);
    let again = s.offer(now, request).1;
    assert!(matches!(again, Decision::Wait { .. }), "{again:?}");
}

#[test]
fn queue_without_deadlines_is_bounded_and_sheds_batch_work_first() {
    let now = Time::from_secs(1);
    let mut cfg = PolicyConfig::default();
    cfg.parts.admission = false;
    let mut s = scheduler(cfg, 1);
    let mut request = standard_request(&s, true);
    request.deadline = Time::MAX;
    for n in 0..600 {
        request.priority = if n % 2 == 0 {
            Priority::Batch
        } else {
            Priority::Interactive
        };
        s.offer(now, request);
    }
    assert!(s.waiting_count() < 200, "{}", s.waiting_count());
    request.priority = Priority::Batch;
    assert_eq!(refusal_reason(s.offer(now, request).1), Refusal::Shed);
}

#[test]
fn waiting_requests_of_a_removed_account_are_refused_with_a_retry_time() {
    let now = Time::from_secs(1);
    let mut s = scheduler(PolicyConfig::default(), 1);
    let request = standard_request(&s, true);
    let offers: Vec<_> = (0..10).map(|_| s.offer(now, request)).collect();
    let is_waiting = |d: &Decision| matches!(d, Decision::Wait { .. });
    let waiting = offers.iter().filter(|(_, d)| is_waiting(d)).count();
    assert!(waiting > 0, "{offers:?}");
    s.set_accounts(&[]);
    let decided = s.poll(now);
    assert_eq!(decided.len(), waiting, "{decided:?}");
    for d in decided {
        let Decision::Refuse {
            reason,
            retry_at: come_back,
        } = d.decision
        else {
            panic!("not refused: {d:?}");
        };
        assert_eq!(reason, Refusal::UnknownAccount);
        assert!(come_back > now);
    }
}

#[test]
fn restarted_target_takes_over_from_a_leaving_one() {
    let cfg = PolicyConfig::default();
    let failures = cfg.failures_to_avoid + 1;
    let mut s = scheduler(cfg, 2);
    let [first, second] = [0, 1].map(|n| {
        s.target_key(&format!("engine-{n}"))
            .expect("the scheduler knows it")
    });
    // The first target stops. It is avoided, and for longer since it is still down at re-entry.
    let mut now = Time::default();
    let mut failed = 0;
    while failed < failures {
        now = now.plus_secs(0.1);
        let request = standard_request(&s, true);
        let (ticket, decision) = s.offer(now, request);
        let target = run_target(decision);
        if target == second {
            s.run_finished(now, ticket, target, Outcome { output_tokens: 10 });
            continue;
        }
        s.run_failed(now, ticket, target, FailureKind::Unreachable);
        s.cancel(now, ticket);
        failed += 1;
    }
    s.target_restarted(now, first);
    let mut target_infos = [target(0, "model"), target(1, "model")];
    target_infos[1].leaving = true;
    s.set_targets(now, &target_infos);
    let request = standard_request(&s, true);
    let (_, decision) = s.offer(now, request);
    assert_eq!(run_target(decision), first);
}
