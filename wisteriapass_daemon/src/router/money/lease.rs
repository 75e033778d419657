//! Registration of this router's money: a lease that says it lives, and what was fenced meanwhile.
//!
//! The lease decides nothing about a spend: side processes refuse fenced money, whatever this
//! router believes.

use std::sync::atomic::Ordering;

use wisteriapass_coord::budget::{Journal, Origin, Shards};
use wisteriapass_coord::fence::{FenceList, Registry};
use wisteriapass_coord::store::{LeaseId, Result};

use crate::prelude::*;
use crate::router::MoneyManager;
use crate::shutdown::Shutdown;

/// Term of the lease, in milliseconds: a router that is silent for so long is suspected.
const LEASE_MS: u64 = 15_000;

/// Time between two renewals, in milliseconds; two may fail before the lease lapses.
const RENEW_MS: u64 = 5_000;

/// Time until a failed renewal is tried again, in milliseconds.
const RETRY_MS: u64 = 300;

/// Time between two looks at whether the process stops, in milliseconds.
const LOOK_MS: u64 = 100;

/// A lease and the origin that it marks as live.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    origin: Origin,
    pub(super) id: LeaseId,
}

impl MoneyManager {
    /// Keeps this router registered until the process stops, and fences dead ones if it falls to
    /// this router.
    pub fn keep_registered(&self, stop: &Shutdown) {
        let mut lease: Option<Lease> = None;
        let mut due = Instant::now();
        while !stop.is_requested() {
            // A fence may have given this router another origin at any time.
            let is_stale = lease.is_some_and(|l| l.origin != self.origin());
            if Instant::now() < due && !is_stale {
                std::thread::sleep(Duration::from_millis(LOOK_MS));
                continue;
            }
            let renewed = self
                .renew(&mut lease)
                .and_then(|()| self.fence_dead_routers(lease));
            let pause = match renewed {
                Ok(()) => RENEW_MS,
                Err(e) => {
                    log::warn!(target: "money", "Cannot renew the lease. cause={e}");
                    RETRY_MS
                }
            };
            due = Instant::now() + Duration::from_millis(pause);
        }
    }

    fn renew(&self, lease: &mut Option<Lease>) -> Result<()> {
        if let Some(held) = *lease
            && !self.store.keep_lease(held.id)?
        {
            log::warn!(target: "money", "The lease lapsed.");
            *lease = None;
        }
        // Before anything is marked live again: a fenced origin must not look live.
        self.apply_fences()?;
        let origin = self.origin();
        if lease.is_some_and(|l| l.origin == origin) {
            return Ok(());
        }
        let registry = Registry::new(self.store.as_ref());
        // Live before it is listed, because whoever is listed and not live is suspected.
        let id = registry.mark_live(origin, Duration::from_millis(LEASE_MS))?;
        registry.register_origin(origin, &origin.to_string())?;
        *lease = Some(Lease { origin, id });
        self.registered.store(true, Ordering::Release);
        Ok(())
    }

    /// Voids money that was fenced; if its own was, goes on under a new origin.
    ///
    /// # Errors
    ///
    /// [`wisteriapass_coord::store::StoreError`] if the service gave no answer.
    pub fn apply_fences(&self) -> Result<()> {
        let list = FenceList::read(self.store.as_ref())?;
        let own = self.origin();
        let mut held = self.held.lock();
        for origin in list.origins() {
            let voided = held.wallet.fence_origin(origin);
            if !voided.is_zero() {
                log::warn!(target: "money", "Money was fenced. origin={origin} tokens={voided}");
            }
        }
        if list.contains(own) {
            let origin = Origin(rand::random());
            log::warn!(target: "money", "This router was fenced. origin={own} next={origin}");
            self.registered.store(false, Ordering::Release);
            *self.journal.lock() = Arc::new(Journal::new(origin, Shards::default()));
        }
        Ok(())
    }

    /// Takes the registration back of an origin that holds nothing any more.
    pub(super) fn unregister(&self) {
        let origin = self.origin();
        let journal = self.journal();
        let ledger = self.ledger(&journal);
        let cleared = match ledger.lists_origin(origin) {
            Ok(true) => return,
            Ok(false) => Registry::new(self.store.as_ref()).remove_origin(origin),
            Err(_) => return,
        };
        if let Err(e) = cleared {
            log::info!(target: "money", "Cannot unregister; another router will. cause={e}");
        }
    }
}
