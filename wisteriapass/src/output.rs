//! Output of results as text or JSON.

use std::fmt::Display;
use std::io::Write;

use error_stack::Report;
use serde::Serialize;

use crate::{Exit, Result, ToolError};

/// Output for results, as text or JSON.
pub struct Output<'a> {
    out: &'a mut dyn Write,
    is_json: bool,
}

/// JSON form of a failure.
#[derive(Serialize)]
struct Failure {
    error: String,
    exit: u8,
}

impl<'a> Output<'a> {
    /// Creates an output. With `is_json`, each command prints one JSON value on one line.
    pub fn new(out: &'a mut dyn Write, is_json: bool) -> Self {
        Self { out, is_json }
    }

    /// Prints JSON from now on.
    pub(crate) fn use_json(&mut self) {
        self.is_json = true;
    }

    /// Prints a result: `value` as JSON if requested, otherwise `text`.
    ///
    /// # Errors
    ///
    /// [`ToolError::Output`] if the result could not be written.
    pub fn print(&mut self, text: &impl Display, value: &impl Serialize) -> Result<()> {
        let printed = if self.is_json {
            serde_json::to_writer(&mut *self.out, value)
                .map_err(Into::into)
                .and_then(|()| writeln!(self.out))
        } else {
            writeln!(self.out, "{}", text.to_string().trim_end())
        };
        printed.map_err(|e| {
            Report::new(ToolError::Output {
                cause: e.to_string(),
            })
        })
    }

    /// Prints a failure, as JSON to the output or as text to standard error.
    pub(crate) fn print_error(&mut self, report: &Report<ToolError>) {
        let error = report.current_context();
        if self.is_json {
            let failure = Failure {
                error: error.to_string(),
                exit: Exit::for_error(error) as u8,
            };
            // If the output is closed, the exit code still reports the failure.
            let _ = self.print(&"", &failure);
            return;
        }
        eprintln!("wisteriapass: {error}");
    }
}
