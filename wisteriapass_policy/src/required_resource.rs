use crate::NameKey;

/// Resource that a target has to host for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequiredResource {
    /// A model, optionally in one version or with one adapter.
    Model {
        /// Name of the model.
        model: NameKey,
        /// Version of the weights; any version if `None`.
        version: Option<NameKey>,
        /// Adapter applied to the model.
        adapter: Option<NameKey>,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: NameKey,
    },
}
