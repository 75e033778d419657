//! Generates the schedule of faults from a seed.

use derive_more::Display;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Time before the first fault, in milliseconds.
const FIRST_FAULT_MS: u64 = 1_500;

/// Mean time between the starts of two faults, in milliseconds; most faults last longer, so that
/// they overlap.
const MEAN_GAP_MS: u64 = 1_500;

/// Maximum duration of a fault other than a long pause, in milliseconds.
const MAX_DURATION_MS: u64 = 6_000;

/// Ratio of router pauses that exceed a router's lease.
const LONG_PAUSE_RATIO: f64 = 0.2;

/// Duration of a pause that exceeds a router's lease, in milliseconds.
const LONG_PAUSE_MS: u64 = 18_000;

/// A fault; its numbers are indices into the fleet's routers and side processes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// A router is killed, and started again at the end.
    #[display("kill router {_0}")]
    KillRouter(usize),
    /// A router is stopped gracefully, and started again at the end.
    #[display("replace router {_0}")]
    ReplaceRouter(usize),
    /// A router is paused, and resumed at the end.
    #[display("pause router {_0}")]
    PauseRouter(usize),
    /// A side process is killed, and started again at the end.
    #[display("kill side {_0}")]
    KillSide(usize),
    /// A side process is paused, and resumed at the end.
    #[display("pause side {_0}")]
    PauseSide(usize),
    /// The key-value service closes each connection without an answer.
    #[display("service down")]
    ServiceDown,
    /// The key-value service is slow.
    #[display("service slow")]
    ServiceSlow,
    /// The key-value service loses the answers to about a third of the writes.
    #[display("service loses answers")]
    ServiceLosesAnswers,
    /// No data passes between a router and a side process.
    #[display("cut router {_0} from side {_1}")]
    Cut(usize, usize),
    /// No data passes from a router to a side process, while the opposite direction works.
    #[display("one-way cut from router {_0} to side {_1}")]
    CutOneWay(usize, usize),
    /// No data passes between a router and the key-value service.
    #[display("cut router {_0} from the service")]
    CutService(usize),
    /// No data passes between a router and the other routers and half of the side processes.
    #[display("partition around router {_0}")]
    Partition(usize),
    /// Open connections to a side process stay open without passing data; new ones work.
    #[display("silence open connections to side {_0}")]
    SilenceConnections(usize),
    /// An engine answers late, swaps, fails and truncates some answers, and resets a connection.
    #[display("degraded target {_0}")]
    DegradeTarget(usize),
    /// A side process is stopped gracefully, and started again at the end.
    #[display("stop side {_0}")]
    StopSide(usize),
    /// A target is drained in the inventory, and undrained at the end.
    #[display("drain target {_0}")]
    Drain(usize),
    /// The VM list marks a target's VM as leaving; another VM replaces it at the end.
    #[display("VM of target {_0} leaves")]
    ReplaceVm(usize),
    /// Two writers edit the same revision of the configuration at once.
    #[display("concurrent edits")]
    RaceEdits,
    /// A target receives an order to load an adapter after the order that supersedes it.
    #[display("superseded order to target {_0}")]
    SupersededOrder(usize),
    /// The account with the smallest balance is topped up.
    #[display("top-up")]
    TopUp,
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start, in milliseconds after the start of the load.
    pub from_ms: u64,
    /// End, in milliseconds after the start of the load.
    pub until_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Plans the faults of an experiment that lasts `seconds`.
pub fn plan_faults(seed: u64, seconds: u64, routers: usize, sides: usize) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let end_ms = seconds * 1_000;
    let mut plan = Vec::new();
    let mut from_ms = FIRST_FAULT_MS;
    while from_ms < end_ms {
        let fault = choose_fault(&mut rng, routers, sides);
        let duration_ms = match fault {
            Fault::PauseRouter(_) if rng.random_bool(LONG_PAUSE_RATIO) => LONG_PAUSE_MS,
            _ => rng.random_range(300..MAX_DURATION_MS),
        };
        plan.push(PlannedFault {
            from_ms,
            until_ms: (from_ms + duration_ms).min(end_ms),
            fault,
        });
        from_ms += rng.random_range(0..2 * MEAN_GAP_MS);
    }
    plan
}

fn choose_fault(rng: &mut ChaCha8Rng, routers: usize, sides: usize) -> Fault {
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
