//! Line numbers of keys in a TOML text.

use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::KeyPath;
use crate::key_path::Step;

/// A TOML text that knows where its keys stand.
pub(crate) struct Lines<'a> {
    text: &'a str,
    root: Option<Spanned<DeTable<'a>>>,
}

impl<'a> Lines<'a> {
    /// Reads a text; one that is not TOML has no lines to tell.
    pub(crate) fn new(text: &'a str) -> Self {
        let root = DeTable::parse(text).ok();
        Self { text, root }
    }

    /// Returns the line of a key, counted from 1; of the nearest table around it if it is missing.
    pub(crate) fn line_of(&self, path: &KeyPath) -> Option<usize> {
        let (first, rest) = path.steps().split_first()?;
        let Step::Key(key) = first else {
            return None;
        };
        let mut value = self.root.as_ref()?.get_ref().get(*key)?;
        for step in rest {
            let Some(inner) = descend(value, *step) else {
                break;
            };
            value = inner;
        }
        Some(line_at(self.text, value.span().start))
    }

    /// Returns the path of the narrowest key or value around a byte offset.
    pub(crate) fn key_at(&self, offset: usize) -> Option<String> {
        let mut narrowest = Narrowest {
            offset,
            found: None,
        };
        narrowest.visit_table("", self.root.as_ref()?.get_ref());
        narrowest.found.map(|(_, path)| path)
    }
}

/// The narrowest key or value found around an offset.
struct Narrowest {
    offset: usize,
    found: Option<(usize, String)>,
}

impl Narrowest {
    fn offer(&mut self, path: &str, span: Range<usize>) {
        let width = span.len();
        // Of equal ones, the inner comes later: an array may have the span of its first entry.
        let is_narrower = self.found.as_ref().is_none_or(|(w, _)| width <= *w);
        if span.contains(&self.offset) && is_narrower {
            self.found = Some((width, path.to_owned()));
        }
    }

    fn visit(&mut self, path: &str, value: &Spanned<DeValue<'_>>) {
        self.offer(path, value.span());
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
            self.offer(&path, key.span());
            self.visit(&path, value);
        }
    }
}

/// Goes one step into a value.
fn descend<'v, 'a>(
    value: &'v Spanned<DeValue<'a>>,
    step: Step,
) -> Option<&'v Spanned<DeValue<'a>>> {
    match (value.get_ref(), step) {
        (DeValue::Table(table), Step::Key(key)) => table.get(key),
        (DeValue::Array(array), Step::Index(index)) => array.get(index),
        _ => None,
    }
}

/// Returns the line of a byte offset, counted from 1.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().get(..offset).unwrap_or(text.as_bytes());
    before.iter().filter(|b| **b == b'\n').count() + 1
}
