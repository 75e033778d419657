//! Operators' command-line tool of wisteriapass.
//!
//! The commands use only the platform's key-value service and the control calls of the daemons.
//! Tests run them against an in-memory store.

#![warn(missing_docs)]

pub mod args;
pub mod budgets;
pub mod commands;
mod context;
pub mod control;
pub mod edit;
mod error;
mod exit;
pub mod fleet;
pub mod history;
mod op_id;
mod output;
mod table;

use std::io::{Write, stderr, stdin, stdout};

use gumdrop::{Options, ParsingStyle};
use wisteriapass_coord::store::HttpStore;

use crate::args::Args;
use crate::control::HttpControl;

pub use context::Context;
pub use error::{Result, ToolError};
pub use exit::Exit;
pub use output::Output;
pub use table::Table;

/// Environment variable with the address of the key-value service.
const STORE_ENV_VAR: &str = "WISTERIAPASS_STORE";

/// Parses the arguments and runs the command on the standard streams of the process.
pub fn run_command_line(args: &[String]) -> Exit {
    let parsed = match Args::parse_args(args, ParsingStyle::AllOptions) {
        Ok(parsed) => parsed,
        Err(e) => return report_usage_error(&e.to_string()),
    };
    if parsed.help_requested() || parsed.command.is_none() {
        return print_help(&parsed);
    }
    let env_address = std::env::var(STORE_ENV_VAR).ok();
    let address = parsed.store.clone().or(env_address).unwrap_or_default();
    let store = HttpStore::new(address.clone());
    let control = match HttpControl::new() {
        Ok(control) => control,
        Err(e) => return report_usage_error(&format!("cannot start a thread ({e})")),
    };
    let mut out = stdout().lock();
    let output = Output::new(&mut out, parsed.json);
    let mut cx = Context::new(&store, &control, output, stdin());
    if address.is_empty() {
        cx = cx.without_store();
    }
    run(&mut cx, &parsed)
}

/// Runs one command and reports a failure on the output of the context.
pub fn run(cx: &mut Context<'_>, args: &Args) -> Exit {
    match commands::run(cx, args) {
        Ok(exit) => exit,
        Err(report) => {
            cx.out.print_error(&report);
            Exit::for_error(report.current_context())
        }
    }
}

/// Reports an unusable command line on standard error.
fn report_usage_error(cause: &str) -> Exit {
    // A failure is ignored: there is nowhere left to report it.
    let _ = writeln!(stderr(), "wisteriapass: {cause}; see wisteriapass --help");
    Exit::Usage
}

/// Prints the requested help, or the help as an error if the command is missing.
fn print_help(args: &Args) -> Exit {
    let text = args::help_text(args);
    if args.help_requested() {
        let _ = writeln!(stdout(), "{text}");
        return Exit::Success;
    }
    let _ = writeln!(stderr(), "{text}");
    Exit::Usage
}
