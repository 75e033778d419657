//! Validation of whole documents, which reports all errors and not just the first one.

mod inventory;
mod parse;
mod policy;
mod rules;
mod settings;

use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::ops::RangeInclusive;

use crate::lines::LineIndex;
use crate::{ConfigError, Diagnostic, KeyPath, Result};

pub(crate) use inventory::check_inventory;
pub(crate) use parse::parse;
use policy::check_policy;
pub(crate) use rules::check_rules;
pub(crate) use settings::check_settings;

/// Maximum length of a name, in bytes; names become parts of keys and metric labels.
pub const MAX_NAME_BYTES: usize = 63;

/// Collects the diagnostics of one document.
pub(crate) struct Checker<'a> {
    file: &'a str,
    lines: Option<LineIndex<'a>>,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> Checker<'a> {
    /// Creates a checker for a document. With its text, diagnostics have line numbers.
    pub(crate) fn new(file: &'a str, text: Option<&'a str>) -> Self {
        Self {
            file,
            lines: text.map(LineIndex::new),
            diagnostics: Vec::new(),
        }
    }

    /// Adds a diagnostic about a key.
    pub(crate) fn report(
        &mut self,
        key: &KeyPath,
        cause: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let line = self.lines.as_ref().and_then(|l| l.line_of(key));
        let diagnostic = Diagnostic::new(self.file, key, cause, remedy).with_line(line);
        self.diagnostics.push(diagnostic);
    }

    /// Checks that a name can be part of keys of the key-value service and of metric labels.
    pub(crate) fn check_name(&mut self, key: &KeyPath, name: &str) {
        if name.is_empty() {
            self.report(key, "is empty", "give a name");
            return;
        }
        if name.len() <= MAX_NAME_BYTES && name.bytes().all(is_name_byte) {
            return;
        }
        self.report(
            key,
            format!("{name:?} is not a valid name"),
            format!("use at most {MAX_NAME_BYTES} of the characters a-z, A-Z, 0-9, '.', '_', '-'"),
        );
    }

    /// Checks that a number is in a range.
    pub(crate) fn check_range<T: PartialOrd + Display>(
        &mut self,
        key: &KeyPath,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if range.contains(&value) {
            return;
        }
        self.report(
            key,
            format!("{value} is out of range"),
            format!("use {} to {}", range.start(), range.end()),
        );
    }

    /// Returns the diagnostics, sorted by line if lines are known.
    pub(crate) fn into_diagnostics(mut self) -> Vec<Diagnostic> {
        self.diagnostics.sort_by_key(|m| m.line);
        self.diagnostics
    }
}

/// Returns whether a byte is allowed in a name.
fn is_name_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-')
}

/// Returns `Ok` if there are no diagnostics.
pub(crate) fn into_result(diagnostics: Vec<Diagnostic>) -> Result<()> {
    if diagnostics.is_empty() {
        return Ok(());
    }
    Err(ConfigError::Invalid { diagnostics })
}

/// Values that must be unique, each with the key of its first occurrence.
pub(crate) struct UniqueValues<T> {
    what: &'static str,
    remedy: &'static str,
    first_keys: HashMap<T, KeyPath>,
}

impl<T: Eq + Hash + Display> UniqueValues<T> {
    /// Creates an empty set; `what` and `remedy` are used in the diagnostics.
    pub(crate) fn new(what: &'static str, remedy: &'static str) -> Self {
        Self {
            what,
            remedy,
            first_keys: HashMap::new(),
        }
    }

    /// Adds a value, or reports it if it was added before.
    pub(crate) fn add(&mut self, checker: &mut Checker<'_>, key: KeyPath, value: T) {
        let Some(first) = self.first_keys.get(&value) else {
            self.first_keys.insert(value, key);
            return;
        };
        let cause = format!("{} {value} is already defined by {first}", self.what);
        checker.report(&key, cause, self.remedy);
    }
}
