//! One run of the experiment: a fleet, load, faults, and the check.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use wisteriapass_coord::once::OnceError;

use super::check::{Property, check};
use super::facts::{Observations, TopUpRecord};
use super::revisions::Revisions;
use super::stage::{Stage, TOPUP_TOKENS};
use super::workload::Workload;
use super::{FaultsOpts, Report, plan_faults};
use crate::fleet::{AccountPlan, Fleet, FleetError, FleetPlan, Program};
use crate::load::History;
use crate::standin::unix_ms;

/// Accounts: one with plenty, one with some, one nearly empty.
const ACCOUNTS: [(&str, u64); 3] = [("rich", 1_000_000), ("middling", 40_000), ("poor", 3_000)];

/// Callers of each account.
const CALLERS: usize = 4;

/// Longest wait for the last bills, in seconds.
const QUIET_S: u64 = 30;

/// Time between two looks for the last bills, in milliseconds.
const LOOK_MS: u64 = 500;

/// Why the experiment did not come to its end.
#[derive(Debug, Display, Error, From)]
pub enum ExperimentError {
    /// The fleet did not start or go on.
    Fleet(FleetError),
    /// Bills can't be read.
    Once(OnceError),
}

/// Plays one run with daemons that run `program`.
///
/// # Errors
///
/// [`PlayError`] if the fleet does not start or a daemon does not start again.
pub fn run_experiment(opts: &FaultsOpts, program: Program) -> Result<Report, ExperimentError> {
    let fleet = Fleet::start(fleet_plan(program))?;
    let history = Arc::new(History::new());
    let began_unix_ms = unix_ms();
    let began = Instant::now();
    let ends_at = began + Duration::from_secs(opts.seconds);
    let counts = fleet.platform().counts();
    let (routers, sides) = (fleet.router_names().len(), fleet.side_names().len());
    let plan = plan_faults(opts.seed, opts.seconds, routers, sides);
    let workload = Workload {
        routers: fleet.router_addrs(),
        accounts: fleet.plan().accounts.clone(),
        callers: CALLERS,
        model: fleet.plan().models[0].clone(),
        seed: opts.seed,
    };
    let mut stage = Stage::new(&fleet, ACCOUNTS[2].0, began);
    let revisions = Revisions::default();
    std::thread::scope(|s| {
        s.spawn(|| revisions.watch(&fleet));
        let load = s.spawn(|| workload.play(&history, ends_at));
        let played = stage.play(&plan, began, opts.verbose);
        let _ = load.join();
        revisions.end();
        played
    })?;
    let rates_until = fleet.platform().counts();
    let seconds = began.elapsed().as_secs_f64();
    stage.end_all()?;
    fleet.wait_ready()?;
    let added = added(stage.topups());
    let gather = || {
        let facts =
            Observations::collect(&fleet, &history.records(), began_unix_ms, added.clone())?;
        Ok(Observations {
            leaving_periods: stage.leaving().to_vec(),
            rollbacks: revisions.reverted(),
            ..facts
        })
    };
    let facts = quiet(gather)?;
    let violations = check(&facts);
    let report = Report::new(&facts, violations).with_rates(counts, rates_until, seconds);
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

/// Waits until each answer has its bill, or no longer.
fn quiet(gather: impl Fn() -> Result<Observations, OnceError>) -> Result<Observations, OnceError> {
    let deadline = Instant::now() + Duration::from_secs(QUIET_S);
    loop {
        let facts = gather()?;
        let is_open = |p: Property| matches!(p, Property::Unbilled);
        let open = check(&facts).iter().any(|v| is_open(v.property));
        if !open || Instant::now() >= deadline {
            return Ok(facts);
        }
        std::thread::sleep(Duration::from_millis(LOOK_MS));
    }
}

/// Returns the money added to each account.
fn added(topups: &[u64]) -> BTreeMap<String, Vec<TopUpRecord>> {
    let first =
        |(name, tokens): (&str, u64)| (name.to_owned(), vec![TopUpRecord { at_us: 0, tokens }]);
    let mut added: BTreeMap<String, Vec<TopUpRecord>> = ACCOUNTS.into_iter().map(first).collect();
    let poor = added.entry(ACCOUNTS[2].0.into()).or_default();
    poor.extend(topups.iter().map(|at_us| TopUpRecord {
        at_us: *at_us,
        tokens: TOPUP_TOKENS,
    }));
    added
}
