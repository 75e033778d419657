//! Control calls of side processes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::fence::SideAck;
use wisteriapass_coord::once::{Bill, ClaimOp, Held, HomeAnswer, Place, RunId};

use crate::run_wire::RunBill;

/// What became of a run that was to be withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawalOutcome {
    /// It never began here and never will.
    NeverRuns,
    /// It goes on.
    Running,
    /// It ended and costs this.
    Ended {
        /// The bill.
        bill: RunBill,
    },
    /// It ended, and whether it took effect at the target is not known.
    Unknown,
}

/// Answer to a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalAnswer {
    /// Incarnation of the side process that answers.
    pub incarnation: String,
    /// What became of the run.
    pub withdrawn: WithdrawalOutcome,
}

/// A run that a side process owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedRun {
    /// Identity of the run.
    pub run: RunId,
    /// Time for which it is surely kept, in milliseconds from now.
    pub kept_ms: u64,
}

/// What a side process owns that is to be found through one home.
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
    /// Where it is about to be sent.
    pub place: Place,
    /// A place known to have gone, whose entry is replaced.
    pub gone: Option<Place>,
    /// Who claims it.
    pub by: ClaimOp,
}

/// What a home knows of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// Where it is, if the home knows.
    pub held: Option<Held>,
    /// Whether the home knows all runs.
    pub is_complete: bool,
}

/// Control calls of a side process.
#[rpc(server, client, namespace = "side")]
pub trait SideControl {
    /// Makes sure that attempts of a run up to this one never begin, unless one has.
    ///
    /// Only the incarnation it was sent to withdraws it; a later one refuses its dispatch anyway and
    /// may be sent the run anew under the same number.
    #[method(name = "withdraw")]
    fn withdraw(
        &self,
        run: String,
        attempt: u32,
        incarnation: String,
    ) -> RpcResult<WithdrawalAnswer>;

    /// Keeps copies of bills, as a home of their runs, until a router has written them.
    #[method(name = "keep_bills")]
    fn keep_bills(&self, bills: Vec<Bill>) -> RpcResult<()>;

    /// Returns the bill of a run, or the copy kept here as a home of the run.
    #[method(name = "bill")]
    fn bill(&self, run: RunId) -> RpcResult<Option<Bill>>;

    /// Claims a run at this home, or tells where it is.
    #[method(name = "claim")]
    fn claim(&self, claim: HomeClaim) -> RpcResult<HomeAnswer>;

    /// Takes a claim at this home back whose run never began and never will.
    #[method(name = "release")]
    fn release(&self, run: RunId, by: ClaimOp) -> RpcResult<()>;

    /// Tells where a run is, as far as this home knows.
    #[method(name = "lookup")]
    fn lookup(&self, run: RunId) -> RpcResult<LookupAnswer>;

    /// Returns the keyed runs here that have the side process of this name for a home.
    #[method(name = "owned")]
    fn owned(&self, home: String) -> RpcResult<OwnedRuns>;

    /// Refuses work paid with an origin from now on, and says what was spent of it.
    #[method(name = "fence")]
    fn fence(&self, origin: Origin) -> RpcResult<SideAck>;

    /// Returns bills that their own routers have not acknowledged in time.
    #[method(name = "open_bills")]
    fn open_bills(&self) -> RpcResult<Vec<Bill>>;

    /// Acknowledges bills that are in the service.
    #[method(name = "acknowledge")]
    fn acknowledge(&self, runs: Vec<RunId>) -> RpcResult<()>;

    /// Asks a run to stop; its bill counts what was generated. Returns whether it was running.
    #[method(name = "cancel")]
    fn cancel(&self, run: String) -> RpcResult<bool>;
}
