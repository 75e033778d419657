//! Line numbers of keys in a TOML text.

use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::KeyPath;
use crate::key_path::Segment;

/// Line numbers of the keys of one TOML text.
pub(crate) struct LineIndex<'a> {
    text: &'a str,
    root: Option<Spanned<DeTable<'a>>>,
}

impl<'a> LineIndex<'a> {
    /// Parses a text. If it is not valid TOML, no line numbers are known.
    pub(crate) fn new(text: &'a str) -> Self {
        let root = DeTable::parse(text).ok();
        Self { text, root }
    }

    /// Returns the line of a key, starting at 1. For a missing key this is the line of the
    /// innermost enclosing table.
    pub(crate) fn line_of(&self, path: &KeyPath) -> Option<usize> {
        let (first, rest) = path.segments().split_first()?;
        let Segment::Key(key) = first else {
            return None;
        };
        let mut value = self.root.as_ref()?.get_ref().get(*key)?;
        for segment in rest {
            let Some(inner) = child(value, *segment) else {
                break;
            };
            value = inner;
        }
        Some(line_at(self.text, value.span().start))
    }

    /// Returns the path of the narrowest key or value at a byte offset.
    pub(crate) fn key_at(&self, offset: usize) -> Option<String> {
        let mut narrowest = NarrowestSpan {
            offset,
            found: None,
        };
        narrowest.visit_table("", self.root.as_ref()?.get_ref());
        narrowest.found.map(|(_, path)| path)
    }
}

/// Search for the narrowest key or value at an offset.
struct NarrowestSpan {
    offset: usize,
    found: Option<(usize, String)>,
}

impl NarrowestSpan {
    fn consider(&mut self, path: &str, span: Range<usize>) {
        let width = span.len();
        // Inner values are visited later and win ties: an array may have the span of its first
        // entry.
        let is_narrower = self.found.as_ref().is_none_or(|(w, _)| width <= *w);
        if span.contains(&self.offset) && is_narrower {
            self.found = Some((width, path.to_owned()));
        }
    }

    fn visit(&mut self, path: &str, value: &Spanned<DeValue<'_>>) {
        self.consider(path, value.span());
        match value.get_ref() {
            DeValue::Table(table) => self.visit_table(&format!("{path}."), table),
            DeValue::Array(array) => {
                for (n, item) in array.iter().enumerate() {
                    self.visit(&format!("{path}[{n}]"), item);
                }
            }
            _ => {}
        }
    }

    fn visit_table(&mut self, prefix: &str, table: &DeTable<'_>) {
        for (key, value) in table.iter() {
            let path = format!("{prefix}{}", key.get_ref());
            self.consider(&path, key.span());
            self.visit(&path, value);
        }
    }
}

/// Returns the child of a table or an array.
fn child<'v, 'a>(
    value: &'v Spanned<DeValue<'a>>,
    segment: Segment,
) -> Option<&'v Spanned<DeValue<'a>>> {
    match (value.get_ref(), segment) {
        (DeValue::Table(table), Segment::Key(key)) => table.get(key),
        (DeValue::Array(array), Segment::Index(index)) => array.get(index),
        _ => None,
    }
}

/// Returns the line of a byte offset, starting at 1.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().get(..offset).unwrap_or(text.as_bytes());
    before.iter().filter(|b| **b == b'\n').count() + 1
}
