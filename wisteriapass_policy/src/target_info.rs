//! Properties of a target from the inventory, the VM list and its own announcements.

use smallvec::SmallVec;

/// Locality of a target relative to the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// Same failure domain.
    #[default]
    SameDomain,
    /// Another failure domain of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// Role of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetRole {
    /// Accepts new requests and answers them completely.
    #[default]
    General,
    /// Only continues requests that other targets started; accepts no new ones.
    Decode,
}

/// A resource that a target hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostedResource {
    /// A model.
    Model {
        /// Name of the model.
        name: String,
        /// Version of the weights.
        version: String,
        /// Adapters loaded with the model.
        adapters: Vec<String>,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        name: String,
    },
}

/// Properties of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Unique name.
    pub name: String,
    /// Locality relative to the router.
    pub locality: Locality,
    /// Role of the target.
    pub role: TargetRole,
    /// Resources that it hosts.
    pub resources: SmallVec<[HostedResource; 2]>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Tokens generated per second with all slots busy.
    pub tokens_per_s: u32,
    /// Whether it is leaving or draining; it gets no new requests.
    pub leaving: bool,
}
