//! One mistake in a configuration text.

use std::fmt;

use serde::Serialize;

use crate::KeyPath;

/// What is wrong with one key, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// File or document name.
    pub file: String,
    /// Line in the text, counted from 1, where it is known.
    pub line: Option<usize>,
    /// Path of the key; empty if the text as a whole is meant.
    pub key: String,
    /// What is wrong.
    pub cause: String,
    /// What to do about it.
    pub remedy: String,
}

impl Diagnostic {
    /// Creates a mistake about one key, its line unknown.
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

    /// Adds the line in the text, counted from 1.
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
