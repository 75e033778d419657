//! `show`: the state of the fleet.

mod budgets;
mod grants;
mod targets;

use std::str::FromStr;

use crate::args::Show;
use crate::{Context, Exit, Result, ToolError};

/// Kinds of state, as the command line names them.
const KINDS: &str = "targets, budgets, grants";

/// Kind of state to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum What {
    Targets,
    Budgets,
    Grants,
}

impl FromStr for What {
    type Err = ToolError;

    fn from_str(text: &str) -> Result<Self, ToolError> {
        match text {
            "targets" => Ok(Self::Targets),
            "budgets" => Ok(Self::Budgets),
            "grants" => Ok(Self::Grants),
            _ => Err(ToolError::Usage {
                cause: format!("{text:?} cannot be shown, use one of {KINDS}"),
            }),
        }
    }
}

/// Shows one kind of state.
pub(super) fn show(cx: &mut Context<'_>, opts: &Show) -> Result<Exit> {
    match opts.what.parse()? {
        What::Targets => targets::show(cx),
        What::Budgets => budgets::show(cx),
        What::Grants => grants::show(cx),
    }
}
