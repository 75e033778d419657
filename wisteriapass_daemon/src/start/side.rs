//! Services and threads of a side process.

use std::thread::sleep;

use wisteriapass_config::Settings;
use wisteriapass_coord::store::HttpStore;

use super::{Result, StartError, spawn};
use crate::fleet::{ConfigInForce, OrderExecutor};
use crate::prelude::*;
use crate::rpc::{RouterControlClient, RpcClient};
use crate::shutdown::Shutdown;
use crate::side::{BillCopier, LoadMonitor, RunIndex, Runs, SideIdentity, SideMoney};

/// Number of routers to which a stopping side process hands its bills.
const BILL_RECEIVERS: usize = 2;

/// Interval between two sweeps of the runs of a side process, in milliseconds.
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
    kernel.register(OrderExecutor::new(&settings.name, target, settings.store));
    let side = kernel.register(SideIdentity {
        name: settings.name.clone(),
        incarnation: incarnation.into(),
        target,
    });
    kernel.register(SideMoney::new(side));
    let load = kernel.register(LoadMonitor::new(kernel)?);
    spawn("load", move || load.poll_forever())?;
    let copies = BillCopier::new(kernel)?;
    spawn("copies", move || copies.send_forever())?;
    let index = kernel.register(RunIndex::new(kernel)?);
    spawn("index", move || index.fill_forever())?;
    Ok(())
}

/// Waits until this side process knows which money is fenced.
pub(super) fn wait_until_ready(settings: &Settings, kernel: &Kernel) -> Result<()> {
    let (money, shutdown) = (kernel.find::<SideMoney>()?, kernel.find::<Shutdown>()?);
    money.register(&HttpStore::new(settings.store.to_string()), &shutdown);
    Ok(())
}

/// Hands bills that are not in the key-value service yet to several routers, in case one of them
/// fails.
pub(super) fn hand_over_bills(kernel: &Kernel) -> Result<()> {
    let bills = kernel.find::<SideMoney>()?.all_bills();
    if bills.is_empty() {
        return Ok(());
    }
    let (client, config) = (kernel.find::<RpcClient>()?, kernel.find::<ConfigInForce>()?);
    let document = config.document();
    let mut receivers = 0;
    for router in &document.inventory.router {
        let copy = bills.clone();
        let result = client.call(router.control, |c| async move { c.take_bills(copy).await });
        receivers += usize::from(result.is_ok());
        if receivers == BILL_RECEIVERS {
            break;
        }
    }
    log::info!(target: "money", "Bills handed over. bills={} routers={receivers}", bills.len());
    Ok(())
}
