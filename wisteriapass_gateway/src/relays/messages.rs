//! What a follower and its relay tell each other of news.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use wisteriapass_coord::prepaid::{DomainId, HolderId};
use wisteriapass_coord::quarantine::News;
use wisteriapass_coord::relay::Listed;

use crate::catalogue::CatalogueChange;
use crate::change_log::{Cursor, TargetChangeSet};
use crate::evacuations::Evacuations;
use crate::quarantine::QuarantineCall;

/// Path of a follower's question for news.
pub const NEWS: &str = "/relay/news";

/// A follower's question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsCall {
    /// VM of the follower.
    pub follower: HolderId,
    /// Version of the configuration that it has; 0 is none.
    pub version: u64,
    /// Revision up to which it knows the targets; 0 is none.
    pub targets_at: u64,
    /// What it has to tell of requests that crash targets.
    pub quarantine: QuarantineCall,
}

/// A relay as a relay names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayEntry {
    id: HolderId,
    at: SocketAddr,
    domain: DomainId,
    is_live: bool,
}

/// A relay's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsAnswer {
    /// How old its news from the service are, in milliseconds.
    pub age_ms: u64,
    /// Whether it is about to give its role up.
    pub is_leaving: bool,
    /// All routers of the fleet.
    pub routers: u32,
    /// All relays.
    pub relays: Vec<RelayEntry>,
    /// Changes of the configuration, in order.
    pub configuration: Vec<Rc<CatalogueChange>>,
    /// From where to go on following the configuration at the service.
    pub configuration_cursor: Cursor,
    /// Failure domains that are evacuated.
    pub evacuations: Evacuations,
    /// Changes of the targets.
    pub targets: Option<TargetChangeSet>,
    /// Requests that crash targets.
    pub quarantine: News,
}

impl From<Listed> for RelayEntry {
    fn from(relay: Listed) -> Self {
        Self {
            id: relay.id,
            at: relay.at,
            domain: relay.domain,
            is_live: relay.is_live,
        }
    }
}

impl From<RelayEntry> for Listed {
    fn from(relay: RelayEntry) -> Self {
        Self {
            id: relay.id,
            at: relay.at,
            domain: relay.domain,
            is_live: relay.is_live,
        }
    }
}
