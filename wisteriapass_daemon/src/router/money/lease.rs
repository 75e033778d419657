//! Registration of this router's origin: a lease that marks it as live, and fences set meanwhile.
//!
//! The lease does not decide whether money may be spent: side processes refuse fenced money,
//! whatever this router assumes.

use std::sync::atomic::Ordering;

use wisteriapass_coord::budget::{Journal, Origin, Shards};
use wisteriapass_coord::fence::{FenceList, Registry};
use wisteriapass_coord::store::{LeaseId, Result};

use crate::prelude::*;
use crate::router::MoneyManager;
use crate::shutdown::Shutdown;

/// Time to live of the lease, in milliseconds; a router that does not renew it is suspected dead.
const LEASE_TTL_MS: u64 = 15_000;

/// Interval between two renewals, in milliseconds; two may fail before the lease expires.
const RENEW_INTERVAL_MS: u64 = 5_000;

/// Delay before a failed renewal is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 300;

/// Interval between two checks of the shutdown flag, in milliseconds.
const SHUTDOWN_POLL_MS: u64 = 100;

/// A lease and the origin that it marks as live.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    origin: Origin,
    pub(super) id: LeaseId,
}

impl MoneyManager {
    /// Keeps this router registered until the process is shut down, and fences dead routers if this
    /// router is the reaper.
    pub fn keep_registered(&self, shutdown: &Shutdown) {
        let mut lease: Option<Lease> = None;
        let mut next_renewal = Instant::now();
        while !shutdown.is_requested() {
            // A fence may replace the origin of this router at any time.
            let is_stale = lease.is_some_and(|l| l.origin != self.origin());
            if Instant::now() < next_renewal && !is_stale {
                std::thread::sleep(Duration::from_millis(SHUTDOWN_POLL_MS));
                continue;
            }
            let result = self
                .renew(&mut lease)
                .and_then(|()| self.fence_dead_routers(lease));
            let pause = match result {
                Ok(()) => RENEW_INTERVAL_MS,
                Err(e) => {
                    log::warn!(target: "money", "Cannot renew the lease. cause={e}");
                    RETRY_DELAY_MS
                }
            };
            next_renewal = Instant::now() + Duration::from_millis(pause);
        }
    }

    fn renew(&self, lease: &mut Option<Lease>) -> Result<()> {
        if let Some(current) = *lease
            && !self.store.renew_lease(current.id)?
        {
            log::warn!(target: "money", "The lease expired.");
            *lease = None;
        }
        // Comes before the origin is marked as live again: a fenced origin must not appear live.
        self.apply_fences()?;
        let origin = self.origin();
        if lease.is_some_and(|l| l.origin == origin) {
            return Ok(());
        }
        let registry = Registry::new(self.store.as_ref());
        // Marked as live before it is listed, because a listed origin that is not live is suspected
        // dead.
        let id = registry.mark_live(origin, Duration::from_millis(LEASE_TTL_MS))?;
        registry.register_origin(origin, &origin.to_string())?;
        *lease = Some(Lease { origin, id });
        self.is_registered.store(true, Ordering::Release);
        Ok(())
    }

    /// Voids fenced money; switches to a new origin if the current one was fenced.
    ///
    /// # Errors
    ///
    /// [`wisteriapass_coord::store::StoreError`] if the store does not answer.
    pub fn apply_fences(&self) -> Result<()> {
        let list = FenceList::read(self.store.as_ref())?;
        let own = self.origin();
        let mut state = self.state.lock();
        for origin in list.origins() {
            let voided = state.wallet.fence_origin(origin);
            if !voided.is_zero() {
                log::warn!(target: "money", "Money was fenced. origin={origin} tokens={voided}");
            }
        }
        if list.contains(own) {
            let origin = Origin(rand::random());
            log::warn!(target: "money", "This router was fenced. origin={own} next={origin}");
            self.is_registered.store(false, Ordering::Release);
            *self.journal.lock() = Arc::new(Journal::new(origin, Shards::default()));
        }
        Ok(())
    }

    /// Removes the registration of an origin that no longer holds money.
    pub(super) fn unregister(&self) {
        let origin = self.origin();
        let journal = self.journal();
        let ledger = self.ledger(&journal);
        let removed = match ledger.lists_origin(origin) {
            Ok(true) => return,
            Ok(false) => Registry::new(self.store.as_ref()).remove_origin(origin),
            Err(_) => return,
        };
        if let Err(e) = removed {
            log::info!(target: "money", "Cannot unregister; another router will do it. cause={e}");
        }
    }
}
