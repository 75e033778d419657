//! Diagnostics of configuration texts.

use std::fmt;

use serde::Serialize;

use crate::KeyPath;

/// Error in a configuration text, with the key it is about and a remedy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// File or document name.
    pub file: String,
    /// Line in the text, starting at 1, if known.
    pub line: Option<usize>,
    /// Path of the key; empty for an error in the text as a whole.
    pub key: String,
    /// Description of the error.
    pub cause: String,
    /// How to correct the error.
    pub remedy: String,
}

impl Diagnostic {
    /// Creates a diagnostic about a key, without a line.
    pub fn new(
        file: impl Into<String>,
        key: &KeyPath,
        cause: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            file: file.into(),
            line: None,
            key: key.to_string(),
            cause: cause.into(),
            remedy: remedy.into(),
        }
    }

    /// Sets the line in the text, starting at 1.
    pub fn with_line(mut self, line: Option<usize>) -> Self {
        self.line = line;
        self
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}; {}", self.cause, self.remedy)
    }
}
