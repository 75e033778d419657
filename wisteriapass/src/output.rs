//! Results for people, or as JSON on request.

use std::fmt::Display;
use std::io::Write;

use error_stack::Report;
use serde::Serialize;

use crate::{Exit, Result, ToolError};

/// Where results go, and in which form.
pub struct Output<'a> {
    out: &'a mut dyn Write,
    is_json: bool,
}

/// A failure as JSON.
#[derive(Serialize)]
struct Failure {
    error: String,
    exit: u8,
}

impl<'a> Output<'a> {
    /// Creates an output; with `is_json`, each command prints one JSON value on one line.
    pub fn new(out: &'a mut dyn Write, is_json: bool) -> Self {
        Self { out, is_json }
    }

    /// Prints a result, `text` for people and `value` as JSON.
    ///
    /// # Errors
    ///
    /// [`ToolError::Output`] if it could not be printed.
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

    /// Prints a failure: as JSON to the output, for people to standard error.
    pub(crate) fn print_error(&mut self, report: &Report<ToolError>) {
        let error = report.current_context();
        if self.is_json {
            let failure = Failure {
                error: error.to_string(),
                exit: Exit::for_error(error) as u8,
            };
            // The exit code still tells if the output is closed.
            let _ = self.print(&"", &failure);
            return;
        }
        eprintln!("wisteriapass: {error}");
    }
}
