//! What inventory, VM list and the target's own announcements say of a target.

use smallvec::SmallVec;

/// How near a target is to the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// Same failure domain.
    #[default]
    SameDomain,
    /// Another failure domain of the region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// What part of the work a target does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetRole {
    /// Takes new requests and answers them whole.
    #[default]
    General,
    /// Only continues what other targets began; takes no new requests.
    Decode,
}

/// One thing that a target holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostedResource {
    /// A model.
    Model {
        /// Model name.
        name: String,
        /// Version of the weights.
        version: String,
        /// Adapters held with it.
        adapters: Vec<String>,
    },
    /// A plain service.
    Service {
        /// Service name.
        name: String,
    },
}

/// What is known of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Name, unique.
    pub name: String,
    /// How near it is.
    pub locality: Locality,
    /// Its part of the work.
    pub role: TargetRole,
    /// What it holds.
    pub resources: SmallVec<[HostedResource; 2]>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Tokens it generates a second with all slots busy.
    pub tokens_per_s: u32,
    /// Whether it leaves or drains: it gets no new work.
    pub leaving: bool,
}
