//! Current incarnations of the side processes.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;
use wisteriapass_config::Target;
use wisteriapass_coord::once::Place;

use crate::prelude::*;
use crate::rpc::{ControlClient, RpcClient};

/// Cache of the side processes' incarnations; each is queried on first use and after a refusal.
pub struct SideIncarnations {
    rpc: Arc<RpcClient>,
    known: Mutex<HashMap<String, String>>,
}

impl Service for SideIncarnations {
    const NAME: &'static str = "incarnations";
}

impl SideIncarnations {
    /// Creates an empty cache.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            rpc: kernel.find()?,
            known: Mutex::default(),
        })
    }

    /// Returns the current place of a target's side process; none if it does not answer.
    pub fn place_of(&self, target: &Target) -> Option<Place> {
        let known = self.known.lock().get(&target.name).cloned();
        let incarnation = known.or_else(|| self.query(&target.name, target.side_control))?;
        Some(Place::new(&target.name, incarnation))
    }

    /// Asks the side process whether a place is its current incarnation.
    pub fn is_current(&self, target: &Target, place: &Place) -> bool {
        self.query(&target.name, target.side_control).as_ref() == Some(&place.incarnation)
    }

    /// Records the incarnation of a side process.
    pub fn record(&self, side: &str, incarnation: &str) {
        self.known.lock().insert(side.into(), incarnation.into());
    }

    /// Removes a place that was refused as an old incarnation or could not be reached.
    pub fn forget(&self, place: &Place) {
        let mut known = self.known.lock();
        if known.get(&place.side) == Some(&place.incarnation) {
            known.remove(&place.side);
        }
    }

    fn query(&self, side: &str, control: SocketAddr) -> Option<String> {
        let status = self.rpc.call(control, |c| async move { c.status().await });
        let incarnation = status.ok()?.incarnation;
        self.record(side, &incarnation);
        Some(incarnation)
    }
}
