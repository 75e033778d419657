//! Control calls of side processes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::fence::SideAck;
use wisteriapass_coord::once::{Bill, ClaimOpId, HomeAnswer, Place, RunId, RunLocation};

use crate::run_wire::RunBill;

/// State of a run that was to be withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawalOutcome {
    /// It has not started here and never will.
    NeverRuns,
    /// It is still running.
    Running,
    /// It ended with a bill.
    Ended {
        /// The bill.
        bill: RunBill,
    },
    /// It ended, and its effect at the target is unknown.
    Unknown,
}

/// Answer to a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalAnswer {
    /// Incarnation of the answering side process.
    pub incarnation: String,
    /// State of the run.
    pub withdrawn: WithdrawalOutcome,
}

/// A run that a side process owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedRun {
    /// Identity of the run.
    pub run: RunId,
    /// Minimum time for which the run is still kept, in milliseconds.
    pub kept_ms: u64,
}

/// Runs of a side process that can be looked up at one home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedRuns {
    /// The side process.
    pub place: Place,
    /// Its runs.
    pub runs: Vec<OwnedRun>,
}

/// Claim of a run for a place, at one of the run's homes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeClaim {
    /// Identity of the run.
    pub run: RunId,
    /// Side process and incarnation that the run is about to be sent to.
    pub place: Place,
    /// Place that is known to be gone; an entry for it is replaced.
    pub gone: Option<Place>,
    /// Operation that makes the claim.
    pub by: ClaimOpId,
}

/// Answer of a home to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// Place of the run, if the home knows it.
    pub held: Option<RunLocation>,
    /// Whether the home knows all of its runs.
    pub is_complete: bool,
}

/// Control calls of a side process.
#[rpc(server, client, namespace = "side")]
pub trait SideControl {
    /// Prevents attempts of a run up to this one from starting, unless one has started already.
    ///
    /// Only the incarnation that the attempt was sent to withdraws it. A later incarnation refuses
    /// that dispatch anyway, and may be sent the run again under the same attempt number.
    #[method(name = "withdraw")]
    fn withdraw(
        &self,
        run: String,
        attempt: u32,
        incarnation: String,
    ) -> RpcResult<WithdrawalAnswer>;

    /// Keeps copies of bills, as a home of their runs, until a router has written them to the
    /// store.
    #[method(name = "keep_bills")]
    fn keep_bills(&self, bills: Vec<Bill>) -> RpcResult<()>;

    /// Returns the bill of a run, or the copy that this home of the run keeps.
    #[method(name = "bill")]
    fn bill(&self, run: RunId) -> RpcResult<Option<Bill>>;

    /// Claims a run at this home, or returns where the run is.
    #[method(name = "claim")]
    fn claim(&self, claim: HomeClaim) -> RpcResult<HomeAnswer>;

    /// Releases a claim at this home for a run that has not started and never will.
    #[method(name = "release")]
    fn release(&self, run: RunId, by: ClaimOpId) -> RpcResult<()>;

    /// Returns where a run is, as far as this home knows.
    #[method(name = "lookup")]
    fn lookup(&self, run: RunId) -> RpcResult<LookupAnswer>;

    /// Returns the keyed runs of this process that have the named side process as a home.
    #[method(name = "owned")]
    fn owned(&self, home: String) -> RpcResult<OwnedRuns>;

    /// Refuses work paid from an origin from now on, and returns what was spent of it.
    #[method(name = "fence")]
    fn fence(&self, origin: Origin) -> RpcResult<SideAck>;

    /// Returns bills that the routers of their runs have not acknowledged in time.
    #[method(name = "open_bills")]
    fn open_bills(&self) -> RpcResult<Vec<Bill>>;

    /// Acknowledges bills that are in the key-value service.
    #[method(name = "acknowledge")]
    fn acknowledge(&self, runs: Vec<RunId>) -> RpcResult<()>;

    /// Asks a run to stop, which is billed for what was generated. Returns whether it was running.
    #[method(name = "cancel")]
    fn cancel(&self, run: String) -> RpcResult<bool>;
}
