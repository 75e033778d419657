//! `show`: state of the fleet.

mod budgets;
mod counts;
mod grants;
mod revision;
mod targets;

use std::str::FromStr;

use wisteriapass_config::Inventory;

use crate::args::Show;
use crate::commands::files;
use crate::control::Counter;
use crate::{Context, Exit, Result, ToolError, edit};

/// Names of the kinds of state on the command line.
const KINDS: &str = "targets, budgets, grants, refusals, retries, revision";

/// Kind of state to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Targets,
    Budgets,
    Grants,
    Refusals,
    Retries,
    Revision,
}

impl FromStr for Kind {
    type Err = ToolError;

    fn from_str(text: &str) -> Result<Self, ToolError> {
        match text {
            "targets" => Ok(Self::Targets),
            "budgets" => Ok(Self::Budgets),
            "grants" => Ok(Self::Grants),
            "refusals" => Ok(Self::Refusals),
            "retries" => Ok(Self::Retries),
            "revision" => Ok(Self::Revision),
            _ => Err(ToolError::Usage {
                cause: format!("cannot show {text:?}, use one of {KINDS}"),
            }),
        }
    }
}

/// Shows one kind of state.
pub(super) fn show(cx: &mut Context<'_>, opts: &Show) -> Result<Exit> {
    match opts.what.parse()? {
        Kind::Targets => targets::show(cx, &load_inventory(cx, opts)?),
        Kind::Budgets => budgets::show(cx),
        Kind::Grants => grants::show(cx),
        Kind::Refusals => counts::show(cx, &load_inventory(cx, opts)?, Counter::Refusals),
        Kind::Retries => counts::show(cx, &load_inventory(cx, opts)?, Counter::Retries),
        Kind::Revision => revision::show(cx, &load_inventory(cx, opts)?),
    }
}

/// An inventory, with its revision if it comes from the key-value service.
struct FleetInventory {
    inventory: Inventory,
    revision: Option<u64>,
}

/// Reads the inventory from the file that the options give, or from the key-value service.
fn load_inventory(cx: &Context<'_>, opts: &Show) -> Result<FleetInventory> {
    if let Some(file) = &opts.inventory {
        return Ok(FleetInventory {
            inventory: files::read_inventory(file)?,
            revision: None,
        });
    }
    let current = edit::current(cx.store()?)?;
    Ok(FleetInventory {
        inventory: current.inventory,
        revision: Some(current.revision),
    })
}
