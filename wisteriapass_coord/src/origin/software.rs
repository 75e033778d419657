//! The software of targets.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A version of a service's software. Two services may use the same name for a version.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{service}@{version}")]
pub struct Software {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
}

impl Software {
    /// Creates a version of a service's software.
    pub fn new(service: &str, version: &str) -> Self {
        Self {
            service: service.to_owned(),
            version: version.to_owned(),
        }
    }

    /// Returns whether this is the software with this service and version.
    pub fn is(&self, service: &str, version: &str) -> bool {
        self.service == service && self.version == version
    }
}
