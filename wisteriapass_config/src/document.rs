//! The configuration in force: inventory and rules under one revision.

use serde::{Deserialize, Serialize};

use crate::{ConfigError, Inventory, Result, Rules};

/// One accepted configuration, as the key-value service holds it (JSON at `config/current`).
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

impl Document {
    /// Reads an inventory and rules from TOML texts and checks them whole.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names document, key and remedy.
    pub fn from_toml(inventory: &str, rules: &str) -> Result<Self> {
        let inventory: Inventory = parse("inventory", inventory)?;
        let rules: Rules = parse("rules", rules)?;
        Ok(Self {
            revision: 0,
            op: String::new(),
            inventory,
            rules,
        })
    }
}

/// Parses one TOML text.
fn parse<T: serde::de::DeserializeOwned>(file: &str, text: &str) -> Result<T> {
    toml::from_str(text).map_err(|e| ConfigError::Malformed {
        file: file.into(),
        cause: e.to_string(),
    })
}
