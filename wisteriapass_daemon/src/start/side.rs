//! Services and threads of a side process.

use std::thread::sleep;

use wisteriapass_config::Settings;
use wisteriapass_coord::store::HttpStore;

use super::{Result, StartError, spawn};
use crate::fleet::{InForce, Orders};
use crate::prelude::*;
use crate::rpc::{RouterControlClient, RpcClient};
use crate::shutdown::Shutdown;
use crate::side::{Copies, Index, LoadWatch, Runs, SideIdentity, SideMoney};

/// Routers that a stopping side process hands its bills to.
const BILL_TAKERS: usize = 2;

/// Time between two sweeps of a side process's runs, in milliseconds.
const SWEEP_MS: u64 = 500;

/// Registers the services of a side process and starts their threads.
pub(super) fn register(settings: &Settings, kernel: &Kernel, incarnation: &str) -> Result<()> {
    let Some(target) = settings.target else {
        return Err(StartError::NoTarget);
    };
    let runs = kernel.register(Runs::new());
    spawn("sweep", move || {
        loop {
            sleep(Duration::from_millis(SWEEP_MS));
            runs.sweep(Instant::now());
        }
    })?;
    kernel.register(Orders::new(&settings.name, target, settings.store));
    let side = kernel.register(SideIdentity {
        name: settings.name.clone(),
        incarnation: incarnation.into(),
        target,
    });
    kernel.register(SideMoney::new(side));
    let load = kernel.register(LoadWatch::new(kernel)?);
    spawn("load", move || load.look_forever())?;
    let copies = Copies::new(kernel)?;
    spawn("copies", move || copies.send_forever())?;
    let index = kernel.register(Index::new(kernel)?);
    spawn("index", move || index.fill_forever())?;
    Ok(())
}

/// Waits until it is known which money is fenced.
pub(super) fn wait_until_ready(settings: &Settings, kernel: &Kernel) -> Result<()> {
    let (money, stop) = (kernel.find::<SideMoney>()?, kernel.find::<Shutdown>()?);
    money.register(&HttpStore::new(settings.store.to_string()), &stop);
    Ok(())
}

/// Hands the bills over that are not in the service yet, to a few routers in case one dies.
pub(super) fn hand_bills_over(kernel: &Kernel) -> Result<()> {
    let bills = kernel.find::<SideMoney>()?.all_bills();
    if bills.is_empty() {
        return Ok(());
    }
    let (caller, config) = (kernel.find::<RpcClient>()?, kernel.find::<InForce>()?);
    let document = config.document();
    let mut takers = 0;
    for router in &document.inventory.router {
        let copy = bills.clone();
        let taken = caller.call(router.control, |c| async move { c.take_bills(copy).await });
        takers += usize::from(taken.is_ok());
        if takers == BILL_TAKERS {
            break;
        }
    }
    log::info!(target: "money", "Bills handed over. bills={} takers={takers}", bills.len());
    Ok(())
}
