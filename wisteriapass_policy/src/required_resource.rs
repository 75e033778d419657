//! What a request needs its target to hold.

use crate::NameKey;

/// What a request needs its target to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequiredResource {
    /// A model, perhaps in one version or with one adapter.
    Model {
        /// Model name.
        model: NameKey,
        /// Version of the weights; any if none.
        version: Option<NameKey>,
        /// Adapter on top.
        adapter: Option<NameKey>,
    },
    /// A plain service.
    Service {
        /// Service name.
        service: NameKey,
    },
}
