//! Quickstart: demonstrates the main features step by step on one machine.

mod error;
mod session;
mod steps;

use std::io::{self, Write};

use crate::fleet::{AccountPlan, Fleet, FleetPlan, Program};

pub use error::{QuickstartError, Result};

use session::Session;

/// Name of the account with a large budget.
const LARGE_ACCOUNT: &str = "pizarra";

/// Name of the account whose budget runs out.
const SMALL_ACCOUNT: &str = "workshop";

/// Prepaid tokens of the large account at the start.
const LARGE_PREPAID_TOKENS: u64 = 1_000_000;

/// Prepaid tokens of the small account at the start.
const SMALL_PREPAID_TOKENS: u64 = 600;

/// Runs the steps and writes their results to `out`.
///
/// # Errors
///
/// Returns [`QuickstartError`] if a step does not give the expected result.
pub fn run(program: Program, out: &mut impl Write) -> Result<()> {
    let fleet = Fleet::start(FleetPlan {
        routers: 2,
        engines: 2,
        services: 1,
        accounts: vec![
            AccountPlan::new(LARGE_ACCOUNT).with_prepaid(LARGE_PREPAID_TOKENS),
            AccountPlan::new(SMALL_ACCOUNT).with_prepaid(SMALL_PREPAID_TOKENS),
        ],
        log: "warn".into(),
        ..FleetPlan::new(program)
    })?;
    list_processes(&fleet, out)?;
    let session = Session::new(&fleet);
    steps::answers(&session, out)?;
    steps::plain_service(&session, out)?;
    steps::repeated_request(&session, out)?;
    steps::budget(&session, out)?;
    steps::graceful_stop(&session, out)?;
    steps::budget_totals(&session, out)?;
    writeln!(out, "\nEverything went as promised.")?;
    Ok(())
}

/// Lists the processes of the fleet.
fn list_processes(fleet: &Fleet, out: &mut impl Write) -> io::Result<()> {
    let document = fleet.document();
    let addr = fleet.platform().addr();
    writeln!(
        out,
        "platform (key-value service, VM list, weights) at {addr}"
    )?;
    for router in &document.inventory.router {
        let (name, domain, listen) = (&router.name, &router.failure_domain, router.listen);
        writeln!(out, "{name} in {domain}, for callers at {listen}")?;
    }
    for target in &document.inventory.target {
        let (name, domain) = (&target.name, &target.failure_domain);
        writeln!(
            out,
            "{name} in {domain} with its side process at {}",
            target.side
        )?;
    }
    Ok(())
}
