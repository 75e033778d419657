//! Copies of bills, kept by the homes of their runs.
//!
//! The router and the side process of a run may both fail before the bill is in the key-value
//! service, above all while the service is unavailable. The homes are in other failure domains and
//! keep a copy until the bill is there.

use std::collections::BTreeMap;

use wisteriapass_config::Document;
use wisteriapass_coord::once::Bill;

use crate::fleet::ConfigInForce;
use crate::prelude::*;
use crate::rpc::{RpcClient, SideControlClient};
use crate::side::{SideIdentity, SideMoney, homes_in};

/// Interval between two rounds of copies, in milliseconds. A crash loses the copies of the bills
/// issued since the last round.
const COPY_INTERVAL_MS: u64 = 50;

/// Sends copies of this side process's bills to the homes of their runs.
pub struct BillCopier {
    side: Arc<SideIdentity>,
    money: Arc<SideMoney>,
    config: Arc<ConfigInForce>,
    client: Arc<RpcClient>,
}

impl BillCopier {
    /// Creates the copier.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            side: kernel.find()?,
            money: kernel.find()?,
            config: kernel.find()?,
            client: kernel.find()?,
        })
    }

    /// Sends copies of new bills periodically.
    pub fn send_forever(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(COPY_INTERVAL_MS));
            self.send(self.money.take_uncopied());
        }
    }

    /// Sends copies once. A copy that fails to arrive is not sent again, because this process still
    /// has the bill.
    fn send(&self, bills: Vec<Bill>) {
        let document = self.config.document();
        for (home, copies) in self.group_by_home(&document, bills) {
            let Some(target) = document.inventory.target_named(&home) else {
                continue;
            };
            let result = self.client.call(target.side_control, |c| async move {
                c.keep_bills(copies).await
            });
            if let Err(e) = result {
                log::info!(target: "money", "Cannot send copies of bills. home={home} cause={e}");
            }
        }
    }

    /// Groups bills by home, without this process's own copies.
    fn group_by_home(&self, document: &Document, bills: Vec<Bill>) -> BTreeMap<String, Vec<Bill>> {
        let mut by_home = BTreeMap::<String, Vec<Bill>>::new();
        for bill in bills {
            for home in homes_in(document, &bill.run) {
                if home != self.side.name {
                    by_home.entry(home).or_default().push(bill.clone());
                }
            }
        }
        by_home
    }
}
