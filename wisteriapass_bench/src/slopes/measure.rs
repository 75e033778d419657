//! Measures one fleet.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{AccountPlan, Fleet, FleetPlan, Result};
use crate::slopes::load::{RequestCounts, apply_edits, send_requests};
use crate::slopes::process::{Usage, read_usage};
use crate::slopes::sample::{RoleSample, Sample};
use crate::slopes::size::Size;
use crate::standin::platform::CallCounts;

/// Time for a fleet to settle after its start, in seconds.
const SETTLE_SECS: u64 = 3;

/// Prepaid tokens of each budget.
const PREPAID_TOKENS: u64 = 1_000_000;

const BYTES_PER_MB: f64 = 1_048_576.0;

/// Maximum number of routers that a router sends heartbeats to.
const ROUTER_PARTNERS: usize = 4;

/// Maximum number of routers that a side process sends heartbeats to.
const SIDE_PARTNERS: usize = 3;

/// Resource usage and traffic of the whole fleet at one moment.
struct Snapshot {
    at: Instant,
    routers: Vec<Usage>,
    sides: Vec<Usage>,
    bytes_to_routers: u64,
    bytes_to_sides: u64,
    counts: CallCounts,
}

/// Starts a fleet of the given size and measures it for `seconds`.
///
/// # Errors
///
/// Returns [`crate::fleet::FleetError`] if the fleet does not start.
pub fn measure(size: Size, seconds: u64) -> Result<Sample> {
    let fleet = Fleet::start(plan(size)?)?;
    sleep(Duration::from_secs(SETTLE_SECS));
    let requests = RequestCounts::default();
    let before = take_snapshot(&fleet);
    let until = before.at + Duration::from_secs(seconds);
    let mut edit_times_ms = std::thread::scope(|scope| {
        send_requests(scope, &fleet, size, &requests, until);
        let edit_times_ms = apply_edits(&fleet, size, until);
        sleep(until.saturating_duration_since(Instant::now()));
        edit_times_ms
    });
    let after = take_snapshot(&fleet);
    edit_times_ms.sort_unstable();
    let wall_s = (after.at - before.at).as_secs_f64();
    let (router_bytes, side_bytes) = control_bytes(size, &before, &after);
    Ok(Sample {
        size,
        router: role_sample(
            &before.routers,
            &after.routers,
            router_bytes / wall_s,
            wall_s,
        ),
        side: role_sample(&before.sides, &after.sides, side_bytes / wall_s, wall_s),
        store_reads_s: (read_calls(&after.counts) - read_calls(&before.counts)) / wall_s,
        store_writes_s: (after.counts.writes - before.counts.writes) as f64 / wall_s,
        answers_s: requests.answers.load(Ordering::Relaxed) as f64 / wall_s,
        failures: requests.failures.load(Ordering::Relaxed),
        edit_p50_ms: edit_times_ms.get(edit_times_ms.len() / 2).copied(),
        edit_max_ms: edit_times_ms.last().copied(),
        document_bytes: fleet.document().to_json().len(),
    })
}

fn plan(size: Size) -> Result<FleetPlan> {
    let account = |n| AccountPlan::new(&format!("account-{n}")).with_prepaid(PREPAID_TOKENS);
    Ok(FleetPlan {
        routers: size.routers,
        engines: size.targets,
        services: 0,
        accounts: (0..size.budgets).map(account).collect(),
        log: "warn".into(),
        ..FleetPlan::of_this_tool()?
    })
}

fn take_snapshot(fleet: &Fleet) -> Snapshot {
    let usages = |names: Vec<String>| -> Vec<Usage> {
        let pids = names.iter().filter_map(|n| fleet.daemon(n).ok()?.pid());
        pids.filter_map(read_usage).collect()
    };
    let inventory = fleet.document().inventory;
    let bytes_to = |links: Vec<SocketAddr>| -> u64 {
        let bytes = links
            .into_iter()
            .map(|l| fleet.network().forwarded_bytes(l));
        bytes.sum()
    };
    Snapshot {
        at: Instant::now(),
        routers: usages(fleet.router_names()),
        sides: usages(fleet.side_names()),
        bytes_to_routers: bytes_to(inventory.router.iter().map(|r| r.control).collect()),
        bytes_to_sides: bytes_to(inventory.target.iter().map(|t| t.side_control).collect()),
        counts: fleet.platform().call_counts(),
    }
}

/// Returns the control bytes of one router and of one side process.
///
/// Bytes to a side process come from routers. Bytes to a router come from side processes and from
/// other routers; they are divided in proportion to the number of routers that each of these
/// sends heartbeats to. Bytes between routers count at both ends.
fn control_bytes(size: Size, before: &Snapshot, after: &Snapshot) -> (f64, f64) {
    let bytes_to_sides = (after.bytes_to_sides - before.bytes_to_sides) as f64;
    let bytes_to_routers = (after.bytes_to_routers - before.bytes_to_routers) as f64;
    let from_routers = size.routers * ROUTER_PARTNERS.min(size.routers - 1);
    let from_sides = size.targets * SIDE_PARTNERS.min(size.routers);
    let share = from_sides as f64 / (from_sides + from_routers) as f64;
    let side_bytes = bytes_to_sides + bytes_to_routers * share;
    let router_bytes = side_bytes + 2.0 * bytes_to_routers * (1.0 - share);
    (
        router_bytes / size.routers as f64,
        side_bytes / size.targets as f64,
    )
}

fn role_sample(before: &[Usage], after: &[Usage], control_bytes_s: f64, wall_s: f64) -> RoleSample {
    let count = after.len().max(1) as f64;
    let cpu = |all: &[Usage]| all.iter().map(|u| u.cpu_s).sum::<f64>();
    let resident_bytes: f64 = after.iter().map(|u| u.resident_bytes).sum();
    RoleSample {
        cpu_percent: (cpu(after) - cpu(before)) / count / wall_s * 100.0,
        resident_mb: resident_bytes / count / BYTES_PER_MB,
        control_bytes_s,
    }
}

fn read_calls(counts: &CallCounts) -> f64 {
    (counts.reads + counts.watches + counts.leases) as f64
}
