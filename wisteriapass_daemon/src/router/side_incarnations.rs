//! Which incarnation of each side process this router sends to.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;
use wisteriapass_config::Target;
use wisteriapass_coord::once::Place;

use crate::prelude::*;
use crate::rpc::{ControlClient, RpcClient};

/// Incarnations of side processes, asked for when first needed and after a refusal.
pub struct SideIncarnations {
    caller: Arc<RpcClient>,
    known: Mutex<HashMap<String, String>>,
}

impl Service for SideIncarnations {
    const NAME: &'static str = "incarnations";
}

impl SideIncarnations {
    /// Creates an empty list.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            caller: kernel.find()?,
            known: Mutex::default(),
        })
    }

    /// Returns the place of a target's side process; none if it does not answer.
    pub fn place_of(&self, target: &Target) -> Option<Place> {
        let known = self.known.lock().get(&target.name).cloned();
        let incarnation = known.or_else(|| self.ask(&target.name, target.side_control))?;
        Some(Place::new(&target.name, incarnation))
    }

    /// Returns whether a place is the incarnation that answers now.
    pub fn is_current(&self, target: &Target, place: &Place) -> bool {
        self.ask(&target.name, target.side_control).as_ref() == Some(&place.incarnation)
    }

    /// Notes what a side process said of itself.
    pub fn record(&self, side: &str, incarnation: &str) {
        self.known.lock().insert(side.into(), incarnation.into());
    }

    /// Forgets a place that refused as another incarnation, or could not be reached.
    pub fn forget(&self, place: &Place) {
        let mut known = self.known.lock();
        if known.get(&place.side) == Some(&place.incarnation) {
            known.remove(&place.side);
        }
    }

    fn ask(&self, side: &str, control: SocketAddr) -> Option<String> {
        let status = self
            .caller
            .call(control, |c| async move { c.status().await });
        let incarnation = status.ok()?.incarnation;
        self.record(side, &incarnation);
        Some(incarnation)
    }
}
