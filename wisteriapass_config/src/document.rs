//! Configuration document: inventory and rules with a revision.

use serde::{Deserialize, Serialize};

use crate::check::{Checker, check_inventory, check_rules, into_result, parse};
use crate::compare::compare;
use crate::notes::find_notes;
use crate::{Change, ConfigError, Diagnostic, Inventory, KeyPath, Note, Result, Rules};

/// Name of the inventory in diagnostics without a file name.
const INVENTORY: &str = "inventory";

/// Name of the rules in diagnostics without a file name.
const RULES: &str = "rules";

/// Key of the document in the key-value service.
pub const CURRENT_KEY: &str = "config/current";

/// Accepted configuration, stored as JSON in the key-value service at [`CURRENT_KEY`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Number of the edit that created the document; only increases.
    pub revision: u64,
    /// Operation id of the edit, which identifies it if the response was lost.
    pub op: String,
    /// Existing routers and targets.
    pub inventory: Inventory,
    /// Accounts, budgets and classes.
    pub rules: Rules,
}

/// Configuration text with its name in diagnostics.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// File or document name.
    pub file: &'a str,
    /// TOML text.
    pub text: &'a str,
}

impl Document {
    /// Parses an inventory and rules from TOML texts and validates them.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] lists document, line, key and remedy of every error.
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

    /// Parses an inventory and rules from TOML texts with file names and validates them.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] lists file, line, key and remedy of every error.
    pub fn from_sources(inventory: Source<'_>, rules: Source<'_>) -> Result<Self> {
        let parsed_inventory = parse::<Inventory>(inventory.file, inventory.text);
        let parsed_rules = parse::<Rules>(rules.file, rules.text);
        let (parsed_inventory, parsed_rules) = zip_parsed(parsed_inventory, parsed_rules)?;
        let document = Self {
            revision: 0,
            op: String::new(),
            inventory: parsed_inventory,
            rules: parsed_rules,
        };
        into_result(document.diagnostics(
            Checker::new(inventory.file, Some(inventory.text)),
            Checker::new(rules.file, Some(rules.text)),
        ))?;
        Ok(document)
    }

    /// Parses a document from JSON that [`Document::to_json`] has written.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Invalid`] if the text is not a document.
    pub fn from_json(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| {
            let remedy = "use the same version of daemons and tool";
            let diagnostic =
                Diagnostic::new(CURRENT_KEY, &KeyPath::default(), e.to_string(), remedy);
            ConfigError::Invalid {
                diagnostics: vec![diagnostic],
            }
        })
    }

    /// Returns the document as JSON, in the format stored in the key-value service.
    ///
    /// # Panics
    ///
    /// Never: all values of a document can be represented in JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("all values of a document can be represented in JSON")
    }

    /// Validates a document that was not parsed from TOML texts.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] lists document, key and remedy of every error.
    pub fn check(&self) -> Result<()> {
        into_result(self.diagnostics(Checker::new(INVENTORY, None), Checker::new(RULES, None)))
    }

    /// Returns notes on valid but probably unintended parts of the configuration.
    pub fn notes(&self) -> Vec<Note> {
        find_notes(self)
    }

    /// Returns the changes that lead from this document to `other`.
    ///
    /// Revision, operation id and the order of entries are ignored.
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

/// Returns both parsed texts, or the diagnostics of both.
fn zip_parsed(
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
