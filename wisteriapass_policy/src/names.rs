//! Names of models, versions, adapters and services, kept once.

use std::collections::HashMap;

/// Key of a known name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NameKey(u32);

/// All names that targets were said to hold.
#[derive(Debug, Default)]
pub(crate) struct Names {
    keys: HashMap<String, NameKey>,
}

impl Names {
    /// Returns the key of a name, which is added if new.
    pub(crate) fn intern(&mut self, name: &str) -> NameKey {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let key = NameKey(self.keys.len() as u32);
        self.keys.insert(name.into(), key);
        key
    }

    /// Returns the key of a name that some target was said to hold.
    pub(crate) fn find(&self, name: &str) -> Option<NameKey> {
        self.keys.get(name).copied()
    }
}
