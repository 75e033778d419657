//! Steps of the machine, drawn at random, and the broken variants of its design.

use quickcheck::{Arbitrary, Gen};

use crate::common::SwapFault;

pub const ROUTERS: usize = 3;
pub const BUDGETS: usize = 2;

/// Deliberate faults of a design, each of which must be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Sound,
    ReclaimWhenLeaseLapses,
    RetireWithoutAllSideProcesses,
    SettleTwice,
    GiverIsNotDebited,
    AnswerAcceptedTwice,
    LostReportIsRepeated,
    TopupWithoutId,
}

#[derive(Clone, Debug)]
pub enum Step {
    Topup {
        budget: usize,
        id: u8,
        amount: u16,
        fate: SwapFault,
    },
    Take {
        router: usize,
        budget: usize,
        need: u16,
        fates: Vec<SwapFault>,
    },
    Dispatch {
        router: usize,
        budget: usize,
        amount: u16,
    },
    End {
        run: usize,
        actual: u16,
    },
    Flush {
        router: usize,
        fates: Vec<SwapFault>,
    },
    GiveBack {
        router: usize,
        budget: usize,
        amount: u16,
    },
    Borrow {
        taker: usize,
        giver: usize,
        budget: usize,
        amount: u16,
        repeats: u8,
        is_lost: bool,
    },
    Suspect {
        router: usize,
        is_dead: bool,
        has_proof: bool,
    },
    Replace {
        router: usize,
    },
}

fn fate(g: &mut Gen) -> SwapFault {
    *g.choose(&[
        SwapFault::None,
        SwapFault::None,
        SwapFault::ResponseLost,
        SwapFault::RequestLost,
        SwapFault::Delayed,
        SwapFault::Unreachable,
    ])
    .unwrap()
}

fn fates(g: &mut Gen) -> Vec<SwapFault> {
    // The answer is lost and the reread fails: the writer can't know for a while.
    if u8::arbitrary(g) % 4 == 0 {
        return vec![SwapFault::ResponseLost, SwapFault::Unreachable];
    }
    (0..usize::arbitrary(g) % 4).map(|_| fate(g)).collect()
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let router = usize::arbitrary(g) % ROUTERS;
        let budget = usize::arbitrary(g) % BUDGETS;
        let amount = u16::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 18 {
            0 | 16 => Self::Topup {
                budget,
                id: u8::arbitrary(g) % 6,
                amount,
                fate: fate(g),
            },
            1..=3 => Self::Take {
                router,
                budget,
                need: amount,
                fates: fates(g),
            },
            4..=6 => Self::Dispatch {
                router,
                budget,
                amount: amount / 4,
            },
            7..=9 => Self::End {
                run: usize::arbitrary(g),
                actual: amount / 2,
            },
            10 | 11 => Self::Flush {
                router,
                fates: fates(g),
            },
            12 | 13 => Self::GiveBack {
                router,
                budget,
                amount,
            },
            14 => Self::Borrow {
                taker: router,
                giver: usize::arbitrary(g) % ROUTERS,
                budget,
                amount,
                repeats: u8::arbitrary(g) % 3,
                is_lost: bool::arbitrary(g),
            },
            15 => Self::Suspect {
                router,
                is_dead: bool::arbitrary(g),
                has_proof: bool::arbitrary(g),
            },
            _ => Self::Replace { router },
        }
    }
}
