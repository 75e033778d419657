//! The source of a configuration.

use derive_more::Display;
use wisteriapass_coord::prepaid::HolderId;

/// From where a router got a configuration. The variants appear in log lines and metrics.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// A watch of the key-value store.
    #[display("watch")]
    Watch,
    /// A read of the key-value store.
    #[display("read")]
    Read,
    /// Another router.
    #[display("relay")]
    Relay(HolderId),
}

impl ConfigurationSource {
    /// Returns the name of the router that it came from.
    pub fn relay(&self) -> &str {
        match self {
            Self::Watch | Self::Read => "-",
            Self::Relay(id) => &id.0,
        }
    }
}
