//! Messages of the update protocol between a follower and its relay.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use wisteriapass_coord::prepaid::{DomainId, HolderId};
use wisteriapass_coord::quarantine::QuarantineDelta;
use wisteriapass_coord::relay::RelayInfo;

use crate::catalogue::CatalogueChange;
use crate::change_log::{Cursor, TargetChangeSet};
use crate::evacuations::Evacuations;
use crate::quarantine::QuarantineCall;
use crate::target::TargetId;

/// Path of a follower's update request.
pub const UPDATE_PATH: &str = "/relay/updates";

/// A follower's update request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpdateCall {
    /// VM of the follower.
    pub follower: HolderId,
    /// Version of the follower's configuration; 0 if it has none.
    pub version: u64,
    /// Revision up to which the follower knows the targets; 0 if it knows none.
    pub targets_at: u64,
    /// Limits that targets named to the follower of late, in requests per second.
    pub limits: Vec<(TargetId, f64)>,
    /// The follower's changes of the quarantine.
    pub quarantine: QuarantineCall,
}

/// A relay in a relay's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayEntry {
    id: HolderId,
    address: SocketAddr,
    domain: DomainId,
    is_live: bool,
}

/// A relay's answer to an update request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpdateAnswer {
    /// Age of the relay's last answer from the store, in milliseconds.
    pub age_ms: u64,
    /// Whether the relay is about to give up its role.
    pub is_leaving: bool,
    /// Number of routers in the fleet.
    pub routers: u32,
    /// All relays.
    pub relays: Vec<RelayEntry>,
    /// Changes of the configuration, in order.
    pub configuration: Vec<Rc<CatalogueChange>>,
    /// Position from which to continue to watch the configuration in the store.
    pub configuration_cursor: Cursor,
    /// Evacuated failure domains.
    pub evacuations: Evacuations,
    /// Changes of the targets.
    pub targets: Option<TargetChangeSet>,
    /// Limits of targets that the relay knows, in requests per second.
    pub limits: Vec<(TargetId, f64)>,
    /// The relay's changes of the quarantine.
    pub quarantine: QuarantineDelta,
}

impl From<RelayInfo> for RelayEntry {
    fn from(relay: RelayInfo) -> Self {
        Self {
            id: relay.id,
            address: relay.address,
            domain: relay.domain,
            is_live: relay.is_live,
        }
    }
}

impl From<RelayEntry> for RelayInfo {
    fn from(relay: RelayEntry) -> Self {
        Self {
            id: relay.id,
            address: relay.address,
            domain: relay.domain,
            is_live: relay.is_live,
        }
    }
}
