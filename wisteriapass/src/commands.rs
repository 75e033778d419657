//! Implementation of the commands.

mod apply;
mod digest;
mod drain;
mod evacuate;
mod explain;
mod explain_placement;
mod export;
mod files;
mod show;
mod topup;

use crate::args::{Args, Command};
use crate::{Context, Exit, Result};

/// Runs the command that the arguments name.
///
/// # Errors
///
/// [`crate::ToolError`] if the command fails; [`Exit::for_error`] returns its exit code.
pub fn run(cx: &mut Context<'_>, args: &Args) -> Result<Exit> {
    let Some(command) = &args.command else {
        return Ok(Exit::Usage);
    };
    match command {
        Command::Check(opts) => files::check(cx, opts),
        Command::Diff(opts) => files::diff(cx, opts),
        Command::Apply(opts) => apply::apply(cx, opts),
        Command::Show(opts) => show::show(cx, opts),
        Command::Topup(opts) => topup::topup(cx, opts),
        Command::Drain(opts) => drain::drain(cx, opts, true),
        Command::Undrain(opts) => drain::drain(cx, opts, false),
        Command::Evacuate(opts) => evacuate::evacuate(cx, opts),
        Command::Digest(_) => digest::digest(cx),
        Command::Export(opts) => export::export(cx, opts),
        Command::Explain(opts) => explain::explain(cx, opts),
        Command::ExplainPlacement(opts) => explain_placement::explain_placement(cx, opts),
    }
}
