//! Runs the experiment: starts a fleet, applies load and faults, and checks the observations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use wisteriapass_coord::once::OnceError;

use super::check::{Property, check};
use super::injector::{FaultInjector, TOPUP_TOKENS};
use super::observations::{Observations, TopUpRecord};
use super::revision_watcher::RevisionWatcher;
use super::workload::Workload;
use super::{FaultsOpts, Report, plan_faults};
use crate::fleet::{AccountPlan, Fleet, FleetError, FleetPlan, Program};
use crate::load::History;
use crate::standin::unix_ms;

/// Accounts with their prepaid tokens: ample, moderate and nearly exhausted.
const ACCOUNTS: [(&str, u64); 3] = [("rich", 1_000_000), ("middling", 40_000), ("poor", 3_000)];

/// Callers per account.
const CALLERS_PER_ACCOUNT: usize = 4;

/// Maximum wait for the last bills, in seconds.
const BILLS_TIMEOUT_S: u64 = 30;

/// Interval at which the last bills are polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// Why the experiment was aborted.
#[derive(Debug, Display, Error, From)]
pub enum ExperimentError {
    /// A fleet operation failed.
    Fleet(FleetError),
    /// The bills cannot be read.
    Once(OnceError),
}

/// Runs the experiment with daemons that run `program`.
///
/// # Errors
///
/// [`ExperimentError`] if a fleet operation fails, such as starting a daemon, or the bills cannot
/// be read.
pub fn run_experiment(opts: &FaultsOpts, program: Program) -> Result<Report, ExperimentError> {
    let fleet = Fleet::start(fleet_plan(program))?;
    let history = Arc::new(History::new());
    let began_unix_ms = unix_ms();
    let began = Instant::now();
    let ends_at = began + Duration::from_secs(opts.seconds);
    let counts_before = fleet.platform().call_counts();
    let (routers, sides) = (fleet.router_names().len(), fleet.side_names().len());
    let plan = plan_faults(opts.seed, opts.seconds, routers, sides);
    let workload = Workload {
        routers: fleet.router_addrs(),
        accounts: fleet.plan().accounts.clone(),
        callers: CALLERS_PER_ACCOUNT,
        model: fleet.plan().models[0].clone(),
        seed: opts.seed,
    };
    let mut injector = FaultInjector::new(&fleet, ACCOUNTS[2].0, began);
    let watcher = RevisionWatcher::default();
    std::thread::scope(|s| {
        s.spawn(|| watcher.watch(&fleet));
        let load = s.spawn(|| workload.run(&history, ends_at));
        let injected = injector.run_plan(&plan, began, opts.verbose);
        let _ = load.join();
        watcher.stop();
        injected
    })?;
    let counts_after = fleet.platform().call_counts();
    let seconds = began.elapsed().as_secs_f64();
    injector.end_all()?;
    fleet.wait_ready()?;
    let top_ups = top_ups(injector.topups());
    let collect = || {
        let observed =
            Observations::collect(&fleet, &history.records(), began_unix_ms, top_ups.clone())?;
        Ok(Observations {
            leaving_periods: injector.leaving().to_vec(),
            rollbacks: watcher.rollbacks(),
            ..observed
        })
    };
    let observed = await_bills(collect)?;
    let violations = check(&observed);
    let report =
        Report::new(&observed, violations).with_rates(counts_before, counts_after, seconds);
    Ok(Report {
        seed: opts.seed,
        seconds: opts.seconds,
        faults: plan.len() as u64,
        ..report
    })
}

fn fleet_plan(program: Program) -> FleetPlan {
    let account = |(name, prepaid): (&str, u64)| AccountPlan::new(name).with_prepaid(prepaid);
    FleetPlan {
        routers: 3,
        engines: 3,
        services: 2,
        accounts: ACCOUNTS.into_iter().map(account).collect(),
        ..FleetPlan::new(program)
    }
}

/// Collects observations until every answer has its bill or the time is up.
fn await_bills(
    collect: impl Fn() -> Result<Observations, OnceError>,
) -> Result<Observations, OnceError> {
    let deadline = Instant::now() + Duration::from_secs(BILLS_TIMEOUT_S);
    loop {
        let observed = collect()?;
        let is_pending = |p: Property| matches!(p, Property::Unbilled);
        let is_unbilled = check(&observed).iter().any(|v| is_pending(v.property));
        if !is_unbilled || Instant::now() >= deadline {
            return Ok(observed);
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

/// Returns the top-ups of each account, including the initial one.
fn top_ups(topups: &[u64]) -> BTreeMap<String, Vec<TopUpRecord>> {
    let initial =
        |(name, tokens): (&str, u64)| (name.to_owned(), vec![TopUpRecord { at_us: 0, tokens }]);
    let mut top_ups: BTreeMap<String, Vec<TopUpRecord>> =
        ACCOUNTS.into_iter().map(initial).collect();
    let low_balance = top_ups.entry(ACCOUNTS[2].0.into()).or_default();
    low_balance.extend(topups.iter().map(|at_us| TopUpRecord {
        at_us: *at_us,
        tokens: TOPUP_TOKENS,
    }));
    top_ups
}
