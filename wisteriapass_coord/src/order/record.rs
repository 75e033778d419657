//! Orders as they are stored in the key-value service.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;

/// Number of an order to one target; only increases.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// Command to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Order {
    /// Load a model version, or an adapter for it.
    Load {
        /// Model name.
        model: String,
        /// Version of the weights.
        version: String,
        /// Adapter, or `None` for the model itself.
        adapter: Option<String>,
        /// Bytes to read from the weight store.
        bytes: u64,
    },
    /// Unload a model version, or an adapter of it.
    Unload {
        /// Model name.
        model: String,
        /// Version of the weights.
        version: String,
        /// Adapter, or `None` for the model itself.
        adapter: Option<String>,
    },
    /// Change to another role.
    ChangeRole {
        /// Name of the role.
        role: String,
    },
}

/// The latest order to a target (JSON at `orders/<target>`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Fencing token of the order.
    pub token: FencingToken,
    /// The command.
    pub order: Order,
    /// Process that issued it.
    pub holder: Incarnation,
    /// Operation id, which identifies the write if its response was lost.
    pub op: String,
}
