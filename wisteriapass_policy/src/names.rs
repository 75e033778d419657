//! Interned names of models, versions, adapters and services.

use std::collections::HashMap;

/// Key of an interned name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NameKey(u32);

/// Names of all resources that targets have hosted.
#[derive(Debug, Default)]
pub(crate) struct Names {
    keys: HashMap<String, NameKey>,
}

impl Names {
    /// Returns the key of a name, interning it if it is new.
    pub(crate) fn intern(&mut self, name: &str) -> NameKey {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let key = NameKey(self.keys.len() as u32);
        self.keys.insert(name.into(), key);
        key
    }

    /// Returns the key of a name that is already interned.
    pub(crate) fn find(&self, name: &str) -> Option<NameKey> {
        self.keys.get(name).copied()
    }
}
