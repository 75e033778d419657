//! Implementation of the control calls of a side process.

use jsonrpsee::core::RpcResult;
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::fence::SideAck;
use wisteriapass_coord::once::{Bill, ClaimOpId, HomeAnswer, RunId};

use crate::prelude::*;
use crate::router::ConfigInForce;
use crate::rpc::{
    HomeClaim, LookupAnswer, OwnedRun, OwnedRuns, SideControlServer, WithdrawalAnswer,
    WithdrawalOutcome,
};
use crate::side::run_index::{entry_lifetime, own_place};
use crate::side::{RunIndex, Runs, SideIdentity, SideMoney, homes_in};

/// Serves control calls from the services of this side process.
pub struct SideControlService {
    side: Arc<SideIdentity>,
    runs: Arc<Runs>,
    index: Arc<RunIndex>,
    config: Arc<ConfigInForce>,
    money: Arc<SideMoney>,
}

impl SideControlService {
    /// Creates the service of a process.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            side: kernel.find()?,
            runs: kernel.find()?,
            index: kernel.find()?,
            config: kernel.find()?,
            money: kernel.find()?,
        })
    }
}

impl SideControlServer for SideControlService {
    fn withdraw(
        &self,
        run: String,
        attempt: u32,
        incarnation: String,
    ) -> RpcResult<WithdrawalAnswer> {
        let outcome = if incarnation == self.side.incarnation {
            self.runs.withdraw(&run, attempt, Instant::now())
        } else {
            WithdrawalOutcome::NeverRuns
        };
        Ok(WithdrawalAnswer {
            incarnation: self.side.incarnation.clone(),
            withdrawn: outcome,
        })
    }

    fn keep_bills(&self, bills: Vec<Bill>) -> RpcResult<()> {
        self.money.keep_copies(bills);
        Ok(())
    }

    fn bill(&self, run: RunId) -> RpcResult<Option<Bill>> {
        Ok(self.money.bill(&run))
    }

    fn claim(&self, claim: HomeClaim) -> RpcResult<HomeAnswer> {
        Ok(self.index.claim(&claim))
    }

    fn release(&self, run: RunId, by: ClaimOpId) -> RpcResult<()> {
        self.index.release(&run, &by);
        Ok(())
    }

    fn lookup(&self, run: RunId) -> RpcResult<LookupAnswer> {
        Ok(self.index.lookup(&run))
    }

    fn owned(&self, home: String) -> RpcResult<OwnedRuns> {
        let document = self.config.document();
        let kept_ms = entry_lifetime().0;
        let runs = self
            .runs
            .keyed()
            .into_iter()
            .filter(|run| homes_in(&document, run).contains(&home))
            .map(|run| OwnedRun { run, kept_ms })
            .collect();
        Ok(OwnedRuns {
            place: own_place(&self.side),
            runs,
        })
    }

    fn fence(&self, origin: Origin) -> RpcResult<SideAck> {
        Ok(self.money.fence(origin))
    }

    fn open_bills(&self) -> RpcResult<Vec<Bill>> {
        Ok(self.money.open_bills())
    }

    fn acknowledge(&self, runs: Vec<RunId>) -> RpcResult<()> {
        self.money.acknowledge(&runs);
        Ok(())
    }

    fn cancel(&self, run: String) -> RpcResult<bool> {
        Ok(self.runs.cancel(&run))
    }
}
