//! Announcement of this process to other processes.

use parking_lot::Mutex;
use wisteriapass_config::{Role, Settings};
use wisteriapass_coord::membership::{Announcement, Incarnation, MemberRole};
use wisteriapass_coord::revision::ConfigRevision;

/// This process as a member of the fleet.
pub struct LocalMember {
    announcement: Mutex<Announcement>,
}

impl LocalMember {
    /// Creates the member described by the settings.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let role = match settings.role {
            Role::Router => MemberRole::Router,
            Role::Side => MemberRole::Side,
        };
        Self {
            announcement: Mutex::new(Announcement {
                name: settings.name.clone(),
                vm: settings.vm.clone(),
                failure_domain: settings.failure_domain.clone(),
                role,
                incarnation,
                revision: ConfigRevision::NONE,
                leaving: false,
            }),
        }
    }

    /// Returns the announcement with the revision in force. Once announced, `leaving` stays set.
    pub fn announcement(&self, revision: u64, leaving: bool) -> Announcement {
        let mut announcement = self.announcement.lock();
        announcement.revision = ConfigRevision(revision);
        announcement.leaving |= leaving;
        announcement.clone()
    }

    /// Returns whether the announcement is from another process with this process's name.
    pub fn is_other_incarnation(&self, other: &Announcement) -> bool {
        let own = self.announcement.lock();
        own.name == other.name && own.incarnation != other.incarnation
    }

    /// Advances past an incarnation that others know, for a process that has not served yet.
    pub fn advance_past(&self, known: Incarnation) {
        let mut announcement = self.announcement.lock();
        announcement.incarnation = announcement.incarnation.advanced_past(known);
    }
}
