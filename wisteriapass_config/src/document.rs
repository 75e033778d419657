//! The configuration in force: inventory and rules under one revision.

use serde::{Deserialize, Serialize};

use crate::check::{Checker, accept, check_inventory, check_rules, parse};
use crate::compare::compare;
use crate::notice::notes_on;
use crate::{Change, ConfigError, Diagnostic, Inventory, KeyPath, Note, Result, Rules};

/// Name of the inventory in messages that have no file name.
const INVENTORY: &str = "inventory";

/// Name of the rules in messages that have no file name.
const RULES: &str = "rules";

/// Key of the key-value service that holds the document as JSON.
pub const CURRENT_KEY: &str = "config/current";

/// One accepted configuration, as the key-value service holds it (JSON at [`CURRENT_KEY`]).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Number of the edit; only grows.
    pub revision: u64,
    /// Operation id of the edit, to recognise it after a lost answer.
    pub op: String,
    /// What exists.
    pub inventory: Inventory,
    /// What is allowed.
    pub rules: Rules,
}

/// A configuration text and what to call it in messages.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// File or document name.
    pub file: &'a str,
    /// The text, TOML.
    pub text: &'a str,
}

impl Document {
    /// Reads an inventory and rules from TOML texts and checks them whole.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names document, line, key and remedy of every mistake.
    pub fn from_toml(inventory: &str, rules: &str) -> Result<Self> {
        let inventory = Source {
            file: INVENTORY,
            text: inventory,
        };
        let rules = Source {
            file: RULES,
            text: rules,
        };
        Self::from_sources(inventory, rules)
    }

    /// Reads an inventory and rules from TOML texts with file names and checks them whole.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names file, line, key and remedy of every mistake.
    pub fn from_sources(inventory: Source<'_>, rules: Source<'_>) -> Result<Self> {
        let parsed_inventory = parse::<Inventory>(inventory.file, inventory.text);
        let parsed_rules = parse::<Rules>(rules.file, rules.text);
        let (parsed_inventory, parsed_rules) = both(parsed_inventory, parsed_rules)?;
        let document = Self {
            revision: 0,
            op: String::new(),
            inventory: parsed_inventory,
            rules: parsed_rules,
        };
        accept(document.diagnostics(
            Checker::new(inventory.file, Some(inventory.text)),
            Checker::new(rules.file, Some(rules.text)),
        ))?;
        Ok(document)
    }

    /// Reads a document from the JSON text that [`Document::to_json`] wrote.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Invalid`] if the text is not such a document.
    pub fn from_json(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| {
            let remedy = "use daemons and tool of the same version";
            let mistake = Diagnostic::new(CURRENT_KEY, &KeyPath::default(), e.to_string(), remedy);
            ConfigError::Invalid {
                diagnostics: vec![mistake],
            }
        })
    }

    /// Writes the document as JSON, as the key-value service holds it.
    ///
    /// # Panics
    ///
    /// Never: documents hold nothing that JSON lacks.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a document has only texts, numbers and lists")
    }

    /// Checks a document that did not come from TOML texts.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names document, key and remedy of every mistake.
    pub fn check(&self) -> Result<()> {
        accept(self.diagnostics(Checker::new(INVENTORY, None), Checker::new(RULES, None)))
    }

    /// Returns what is allowed and probably not meant, for operators to look at.
    pub fn notes(&self) -> Vec<Note> {
        notes_on(self)
    }

    /// Returns the differences that lead from this document to another one.
    ///
    /// Revision, operation id and the order of entries do not count.
    pub fn changes_to(&self, other: &Self) -> Vec<Change> {
        compare(self, other)
    }

    fn diagnostics(&self, mut inventory: Checker<'_>, mut rules: Checker<'_>) -> Vec<Diagnostic> {
        check_inventory(&mut inventory, &self.inventory);
        check_rules(&mut rules, &self.rules, &self.inventory);
        let mut diagnostics = inventory.into_diagnostics();
        diagnostics.extend(rules.into_diagnostics());
        diagnostics
    }
}

/// Returns both parsed texts, or the mistakes of either.
fn both(
    inventory: Result<Inventory, Diagnostic>,
    rules: Result<Rules, Diagnostic>,
) -> Result<(Inventory, Rules)> {
    match (inventory, rules) {
        (Ok(inventory), Ok(rules)) => Ok((inventory, rules)),
        (inventory, rules) => Err(ConfigError::Invalid {
            diagnostics: inventory.err().into_iter().chain(rules.err()).collect(),
        }),
    }
}
