//! Orders as the key-value service holds them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;

/// Number of an order to one target; only grows.
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

/// What a target is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Order {
    /// Load a model version, or an adapter for it.
    Load {
        /// Model name.
        model: String,
        /// Version of the weights.
        version: String,
        /// Adapter, unless the model itself is meant.
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
        /// Adapter, unless the model itself is meant.
        adapter: Option<String>,
    },
    /// Take another role.
    ChangeRole {
        /// Name of the role.
        role: String,
    },
}

/// The latest order to a target (JSON at `orders/<target>`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Its number.
    pub token: FencingToken,
    /// What to do.
    pub order: Order,
    /// Who ordered it.
    pub holder: Incarnation,
    /// Operation id, to recognise the write after a lost answer.
    pub op: String,
}
