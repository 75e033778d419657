//! Which faults come when, by seed.

use derive_more::Display;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Time before the first fault, in milliseconds.
const QUIET_MS: u64 = 1_500;

/// Mean time between two faults, in milliseconds; most last longer, so that they overlap.
const MEAN_GAP_MS: u64 = 1_500;

/// Longest that a fault lasts, in milliseconds.
const LONGEST_MS: u64 = 6_000;

/// Share of pauses that outlast a router's lease.
const LONG_PAUSES: f64 = 0.2;

/// Length of a pause that outlasts a router's lease, in milliseconds.
const LONG_PAUSE_MS: u64 = 18_000;

/// One fault; what it names are indices into the fleet's routers and side processes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// A router is killed, and started again at the end.
    #[display("kill router {_0}")]
    KillRouter(usize),
    /// A router is stopped gracefully, and started again at the end.
    #[display("replace router {_0}")]
    ReplaceRouter(usize),
    /// A router is halted, and goes on at the end.
    #[display("pause router {_0}")]
    PauseRouter(usize),
    /// A side process is killed, and started again at the end.
    #[display("kill side {_0}")]
    KillSide(usize),
    /// A side process is halted, and goes on at the end.
    #[display("pause side {_0}")]
    PauseSide(usize),
    /// The key-value service refuses, closes or swallows each call.
    #[display("service down")]
    ServiceDown,
    /// The key-value service is slow.
    #[display("service slow")]
    ServiceSlow,
    /// The key-value service loses the answers of a third of the writes.
    #[display("service loses answers")]
    ServiceLosesAnswers,
    /// No byte passes between a router and a side process.
    #[display("cut router {_0} from side {_1}")]
    Cut(usize, usize),
    /// No byte passes from a router to a side process, while the other way works.
    #[display("one way cut from router {_0} to side {_1}")]
    CutOneWay(usize, usize),
    /// No byte passes between a router and the key-value service.
    #[display("cut router {_0} from the service")]
    CutService(usize),
    /// No byte passes between a router and the others and half of the side processes.
    #[display("partition around router {_0}")]
    Partition(usize),
    /// Open connections to a side process go silent for good; new ones work.
    #[display("silence open connections to side {_0}")]
    SilenceConnections(usize),
    /// An engine answers late, crosses answers, and cuts some.
    #[display("disturbed target {_0}")]
    DegradeTarget(usize),
    /// A side process is stopped gracefully, and started again at the end.
    #[display("stop side {_0}")]
    StopSide(usize),
    /// A target is drained in the inventory, and undrained at the end.
    #[display("drain target {_0}")]
    Drain(usize),
    /// The VM list says that a target's VM leaves; another replaces it at the end.
    #[display("VM of target {_0} leaves")]
    ReplaceVm(usize),
    /// Two writers edit the configuration from the same revision.
    #[display("racing edits")]
    RaceEdits,
    /// A target is ordered to load an adapter by a holder that another has overtaken.
    #[display("overtaken order to target {_0}")]
    SupersededOrder(usize),
    /// The nearly empty account is topped up.
    #[display("top-up")]
    TopUp,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins, in milliseconds from the start of the load.
    pub from_ms: u64,
    /// When it ends.
    pub until_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Plans the faults of a run of `seconds`.
pub fn plan_faults(seed: u64, seconds: u64, routers: usize, sides: usize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let end_ms = seconds * 1_000;
    let mut plan = Vec::new();
    let mut from_ms = QUIET_MS;
    while from_ms < end_ms {
        let fault = fault(&mut rng, routers, sides);
        let lasts_ms = match fault {
            Fault::PauseRouter(_) if rng.random_bool(LONG_PAUSES) => LONG_PAUSE_MS,
            _ => rng.random_range(300..LONGEST_MS),
        };
        plan.push(PlannedFault {
            from_ms,
            until_ms: (from_ms + lasts_ms).min(end_ms),
            fault,
        });
        from_ms += rng.random_range(0..2 * MEAN_GAP_MS);
    }
    plan
}

fn fault(rng: &mut ChaCha8Rng, routers: usize, sides: usize) -> Fault {
    let router = rng.random_range(0..routers);
    let side = rng.random_range(0..sides);
    let all = [
        Fault::KillRouter(router),
        Fault::ReplaceRouter(router),
        Fault::PauseRouter(router),
        Fault::KillSide(side),
        Fault::PauseSide(side),
        Fault::ServiceDown,
        Fault::ServiceSlow,
        Fault::ServiceLosesAnswers,
        Fault::Cut(router, side),
        Fault::CutOneWay(router, side),
        Fault::CutService(router),
        Fault::Partition(router),
        Fault::SilenceConnections(side),
        Fault::DegradeTarget(side),
        Fault::StopSide(side),
        Fault::Drain(side),
        Fault::ReplaceVm(side),
        Fault::RaceEdits,
        Fault::SupersededOrder(side),
        Fault::TopUp,
        Fault::TopUp,
    ];
    *all.choose(rng).unwrap_or(&Fault::TopUp)
}
