//! A tour of the product on one machine: what it does, shown step by step.

mod desk;
mod error;
mod steps;

use std::io::{self, Write};

use crate::fleet::{AccountPlan, Fleet, FleetPlan, Program};

pub use error::{QuickstartError, Result};

use desk::Session;

/// Account with plenty of money.
const LARGE: &str = "pizarra";

/// Account whose budget runs out.
const SMALL: &str = "workshop";

/// Tokens that the large account starts with.
const LARGE_PREPAID: u64 = 1_000_000;

/// Tokens that the small account starts with.
const SMALL_PREPAID: u64 = 600;

/// Runs the tour and writes what happens to `out`.
///
/// # Errors
///
/// [`QuickstartError`] if something does not go as the product promises.
pub fn run(program: Program, out: &mut impl Write) -> Result<()> {
    let fleet = Fleet::start(FleetPlan {
        routers: 2,
        engines: 2,
        services: 1,
        accounts: vec![
            AccountPlan::new(LARGE).with_prepaid(LARGE_PREPAID),
            AccountPlan::new(SMALL).with_prepaid(SMALL_PREPAID),
        ],
        log: "warn".into(),
        ..FleetPlan::new(program)
    })?;
    introduce(&fleet, out)?;
    let desk = Session::new(&fleet);
    steps::answers(&desk, out)?;
    steps::plain_service(&desk, out)?;
    steps::repeated_request(&desk, out)?;
    steps::budget(&desk, out)?;
    steps::graceful_stop(&desk, out)?;
    steps::money(&desk, out)?;
    writeln!(out, "\nEverything went as promised.")?;
    Ok(())
}

/// Says what runs.
fn introduce(fleet: &Fleet, out: &mut impl Write) -> io::Result<()> {
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
