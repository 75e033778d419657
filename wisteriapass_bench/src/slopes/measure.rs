//! Measuring one fleet.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{AccountPlan, Fleet, FleetPlan, Result};
use crate::slopes::load::{Tally, edit, send};
use crate::slopes::process::{Usage, usage};
use crate::slopes::sample::{RoleSample, Sample};
use crate::slopes::size::Size;
use crate::standin::platform::CallCounts;

/// Time for a fleet to settle after its start, in seconds.
const SETTLE_S: u64 = 3;

/// Tokens of each budget.
const PREPAID: u64 = 1_000_000;

/// Bytes in a megabyte.
const MB: f64 = 1_048_576.0;

/// Routers that a router exchanges heartbeats with at most.
const ROUTER_PARTNERS: usize = 4;

/// Routers that a side process chooses at most.
const SIDE_PARTNERS: usize = 3;

/// Figures of the whole fleet at one moment.
struct Moment {
    at: Instant,
    routers: Vec<Usage>,
    sides: Vec<Usage>,
    to_routers: u64,
    to_sides: u64,
    counts: CallCounts,
}

/// Starts a fleet of this size and measures it for some seconds.
///
/// # Errors
///
/// [`crate::fleet::FleetError`] if it does not start.
pub fn measure(size: Size, seconds: u64) -> Result<Sample> {
    let fleet = Fleet::start(plan(size)?)?;
    sleep(Duration::from_secs(SETTLE_S));
    let tally = Tally::default();
    let before = moment(&fleet);
    let until = before.at + Duration::from_secs(seconds);
    let mut edits = std::thread::scope(|scope| {
        send(scope, &fleet, size, &tally, until);
        let edits = edit(&fleet, size, until);
        sleep(until.saturating_duration_since(Instant::now()));
        edits
    });
    let after = moment(&fleet);
    edits.sort_unstable();
    let wall_s = (after.at - before.at).as_secs_f64();
    let (router_bytes, side_bytes) = control_bytes(size, &before, &after);
    Ok(Sample {
        size,
        router: role(
            &before.routers,
            &after.routers,
            router_bytes / wall_s,
            wall_s,
        ),
        side: role(&before.sides, &after.sides, side_bytes / wall_s, wall_s),
        store_reads_s: (reads(&after.counts) - reads(&before.counts)) / wall_s,
        store_writes_s: (after.counts.writes - before.counts.writes) as f64 / wall_s,
        answers_s: tally.answers.load(Ordering::Relaxed) as f64 / wall_s,
        failures: tally.failures.load(Ordering::Relaxed),
        edit_p50_ms: edits.get(edits.len() / 2).copied(),
        edit_max_ms: edits.last().copied(),
        document_bytes: fleet.document().to_json().len(),
    })
}

fn plan(size: Size) -> Result<FleetPlan> {
    let account = |n| AccountPlan::new(&format!("account-{n}")).with_prepaid(PREPAID);
    Ok(FleetPlan {
        routers: size.routers,
        engines: size.targets,
        services: 0,
        accounts: (0..size.budgets).map(account).collect(),
        log: "warn".into(),
        ..FleetPlan::of_this_tool()?
    })
}

fn moment(fleet: &Fleet) -> Moment {
    let of = |names: Vec<String>| -> Vec<Usage> {
        let pids = names.iter().filter_map(|n| fleet.daemon(n).ok()?.pid());
        pids.filter_map(usage).collect()
    };
    let inventory = fleet.document().inventory;
    let through = |links: Vec<SocketAddr>| -> u64 {
        let bytes = links
            .into_iter()
            .map(|l| fleet.network().forwarded_bytes(l));
        bytes.sum()
    };
    Moment {
        at: Instant::now(),
        routers: of(fleet.router_names()),
        sides: of(fleet.side_names()),
        to_routers: through(inventory.router.iter().map(|r| r.control).collect()),
        to_sides: through(inventory.target.iter().map(|t| t.side_control).collect()),
        counts: fleet.platform().call_counts(),
    }
}

/// Returns the control bytes of one router and of one side process.
///
/// What goes to a side process comes from a router. What goes to a router comes from side
/// processes and from routers, told apart by how many each of them chooses; between routers each
/// byte counts at both ends.
fn control_bytes(size: Size, before: &Moment, after: &Moment) -> (f64, f64) {
    let to_sides = (after.to_sides - before.to_sides) as f64;
    let to_routers = (after.to_routers - before.to_routers) as f64;
    let from_routers = size.routers * ROUTER_PARTNERS.min(size.routers - 1);
    let from_sides = size.targets * SIDE_PARTNERS.min(size.routers);
    let share = from_sides as f64 / (from_sides + from_routers) as f64;
    let of_sides = to_sides + to_routers * share;
    let of_routers = of_sides + 2.0 * to_routers * (1.0 - share);
    (
        of_routers / size.routers as f64,
        of_sides / size.targets as f64,
    )
}

fn role(before: &[Usage], after: &[Usage], control_bytes_s: f64, wall_s: f64) -> RoleSample {
    let count = after.len().max(1) as f64;
    let cpu = |all: &[Usage]| all.iter().map(|u| u.cpu_s).sum::<f64>();
    let resident: f64 = after.iter().map(|u| u.resident).sum();
    RoleSample {
        cpu_percent: (cpu(after) - cpu(before)) / count / wall_s * 100.0,
        resident_mb: resident / count / MB,
        control_bytes_s,
    }
}

fn reads(counts: &CallCounts) -> f64 {
    (counts.reads + counts.watches + counts.leases) as f64
}
