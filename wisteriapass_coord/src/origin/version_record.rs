//! The record of software versions that outlives all routers.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde_json::json;

use super::Software;

/// The versions that may have begun a stream which can still be resumed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct VersionRecord {
    /// The versions of all services.
    pub versions: BTreeSet<Software>,
}

impl fmt::Display for VersionRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.versions.iter().map(Software::to_string).collect();
        f.write_str(&names.join(","))
    }
}

impl VersionRecord {
    /// Decodes a stored record; an absent one is empty.
    ///
    /// # Errors
    ///
    /// Those of the JSON decoder.
    pub fn from_bytes(bytes: &[u8]) -> serde_json::Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_slice(bytes)
    }

    /// Encodes the record.
    pub fn to_bytes(&self) -> Vec<u8> {
        json!({ "versions": self.versions })
            .to_string()
            .into_bytes()
    }
}
