//! What this router holds under one process identity in the share record.

use std::cell::RefCell;
use std::rc::Rc;

use twox_hash::XxHash64;
use wisteriapass_coord::prepaid::{GrantLedger, Settlement, Totals, WitnessMemory};

use super::account_group::AccountGroup;
use super::share_sizes::new_holder;
use crate::clock::Clock;
use crate::settings::GatewaySettings;

/// Number of store records over which accounts are spread. Each record costs one store call per
/// share exchange, and holds a few hundred accounts of a few tens of routers.
pub(super) const RECORD_COUNT: u32 = 1;

/// Shares of this router, what it granted out of them, and what it witnesses for others.
///
/// A relay that gave up its role returned its shares, and takes part in the record as another
/// process if it becomes a relay again. All of this then begins anew together; a reservation settles
/// in the incarnation in which it was made, even if that has ended.
pub struct Incarnation {
    /// The accounts of each record.
    pub(super) groups: Vec<AccountGroup>,
    /// Tokens that this relay granted to followers.
    pub(super) grants: RefCell<GrantLedger>,
    /// Reports of other relays, for which this relay is a witness.
    pub(super) witness_memory: RefCell<WitnessMemory>,
    clock: Clock,
}

impl Incarnation {
    /// Creates an incarnation without shares of these totals.
    pub(super) fn new(clock: Clock, settings: &GatewaySettings, totals: &Rc<Totals>) -> Self {
        let process = rand::random();
        let group = |_| AccountGroup::new(new_holder(clock, settings, process, totals.clone()));
        Self {
            groups: (0..RECORD_COUNT).map(group).collect(),
            grants: RefCell::new(GrantLedger::new(process)),
            witness_memory: RefCell::new(WitnessMemory::new(process)),
            clock,
        }
    }

    /// Returns the accounts of one record.
    pub(super) fn record_group(&self, index: u32) -> &AccountGroup {
        &self.groups[index as usize]
    }

    /// Returns the group of an account.
    pub(super) fn group(&self, account: &str) -> &AccountGroup {
        let hash = XxHash64::oneshot(0, account.as_bytes());
        &self.groups[(hash % u64::from(RECORD_COUNT)) as usize]
    }

    /// Replaces a reservation of a share by the actual cost.
    pub(super) fn settle(&self, account: &str, max_cost: u64, used: u64) {
        let group = self.group(account);
        group.holder.borrow_mut().settle(account, max_cost, used);
        group.request_exchange_if_due(self.clock.now_ms());
    }

    /// Applies what followers spent and returned.
    pub(super) fn settle_all(&self, settlements: Vec<Settlement>) {
        for s in settlements {
            self.settle(&s.account, s.reserved, s.used);
        }
    }

    /// Has each group make an exchange.
    pub(super) fn request_exchanges(&self) {
        self.groups
            .iter()
            .for_each(|group| group.exchange_needed.notify_one());
    }

    /// Has each further write return all that no request in progress needs.
    pub(super) fn set_stopping(&self) {
        for group in &self.groups {
            group.holder.borrow_mut().set_stopping();
        }
    }

    /// Returns whether no request in progress uses the shares.
    pub(super) fn is_idle(&self) -> bool {
        self.groups.iter().all(AccountGroup::is_idle)
    }
}

impl std::fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Incarnation").finish_non_exhaustive()
    }
}
