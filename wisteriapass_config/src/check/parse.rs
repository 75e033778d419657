//! Parsing of TOML texts into documents, with diagnostics that contain line and remedy.

use serde::de::DeserializeOwned;

use crate::Diagnostic;
use crate::lines::{LineIndex, line_at};

/// Parses a TOML text.
///
/// The parser stops at the first key that is unknown or whose value has the wrong type.
pub(crate) fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Diagnostic> {
    toml::from_str(text).map_err(|e| diagnostic_from(file, text, &e))
}

/// Converts an error of the parser to a diagnostic.
fn diagnostic_from(file: &str, text: &str, e: &toml::de::Error) -> Diagnostic {
    let start = e.span().map(|span| span.start);
    let cause = e.message().to_owned();
    let remedy = remedy_for(&cause);
    Diagnostic {
        file: file.to_owned(),
        line: start.map(|offset| line_at(text, offset)),
        key: start
            .and_then(|o| LineIndex::new(text).key_at(o))
            .unwrap_or_default(),
        cause,
        remedy: remedy.to_owned(),
    }
}

/// Returns the remedy for an error message of the parser.
fn remedy_for(cause: &str) -> &'static str {
    if cause.starts_with("unknown field") {
        return "remove the key or correct its spelling";
    }
    if cause.starts_with("missing field") {
        return "add the key";
    }
    if cause.contains("socket address") {
        return "write an address as \"IP:port\"";
    }
    "correct the value on this line"
}
