//! Copies of bills at the homes of their runs.
//!
//! Router and side process may die together before the bill is in the service, most of all while
//! the service is down. The homes sit in other failure domains and keep a copy until then.

use std::collections::BTreeMap;

use wisteriapass_config::Document;
use wisteriapass_coord::once::Bill;

use crate::fleet::ConfigInForce;
use crate::prelude::*;
use crate::rpc::{RpcClient, SideControlClient};
use crate::side::{SideIdentity, SideMoney, homes_in};

/// Time between two rounds, in milliseconds: a death in between loses the copies of that long.
const ROUND_MS: u64 = 50;

/// Sends copies of this side process's bills to other side processes.
pub struct BillCopier {
    side: Arc<SideIdentity>,
    money: Arc<SideMoney>,
    config: Arc<ConfigInForce>,
    caller: Arc<RpcClient>,
}

impl BillCopier {
    /// Creates the sender.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            side: kernel.find()?,
            money: kernel.find()?,
            config: kernel.find()?,
            caller: kernel.find()?,
        })
    }

    /// Sends again and again.
    pub fn send_forever(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(ROUND_MS));
            self.send(self.money.take_uncopied());
        }
    }

    /// Sends copies once; one that does not arrive is not sent again, as the owner keeps the bill.
    fn send(&self, bills: Vec<Bill>) {
        let document = self.config.document();
        for (home, copies) in self.by_home(&document, bills) {
            let Some(target) = document.inventory.target_named(&home) else {
                continue;
            };
            let kept = self.caller.call(target.side_control, |c| async move {
                c.keep_bills(copies).await
            });
            if let Err(e) = kept {
                log::info!(target: "money", "No copy of bills. home={home} cause={e}");
            }
        }
    }

    fn by_home(&self, document: &Document, bills: Vec<Bill>) -> BTreeMap<String, Vec<Bill>> {
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
