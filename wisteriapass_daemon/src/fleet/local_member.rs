//! What this process says of itself.

use parking_lot::Mutex;
use wisteriapass_config::{Role, Settings};
use wisteriapass_coord::membership::{Announcement, Incarnation, MemberRole};
use wisteriapass_coord::revision::ConfigRevision;

/// This process as a member.
pub struct LocalMember {
    said: Mutex<Announcement>,
}

impl LocalMember {
    /// Creates the member that the settings describe.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let role = match settings.role {
            Role::Router => MemberRole::Router,
            Role::Side => MemberRole::Side,
        };
        Self {
            said: Mutex::new(Announcement {
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

    /// Returns the announcement with the revision in force.
    pub fn announcement(&self, revision: u64, leaving: bool) -> Announcement {
        let mut said = self.said.lock();
        said.revision = ConfigRevision(revision);
        said.leaving |= leaving;
        said.clone()
    }

    /// Returns whether this is another process's word under this process's name.
    pub fn is_other_incarnation(&self, said: &Announcement) -> bool {
        let own = self.said.lock();
        own.name == said.name && own.incarnation != said.incarnation
    }

    /// Steps past an incarnation that others know, for a process that has not served yet.
    pub fn advance_past(&self, known: Incarnation) {
        let mut said = self.said.lock();
        said.incarnation = said.incarnation.advanced_past(known);
    }
}
