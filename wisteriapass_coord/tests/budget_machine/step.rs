//! Random steps of the state machine, and the broken variants of its design.

use quickcheck::{Arbitrary, Gen};

use crate::common::SwapFault;

pub const ROUTERS: usize = 3;
pub const BUDGETS: usize = 2;

/// The sound design, and deliberately broken ones that the test must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Sound,
    ReclaimWhenLeaseLapses,
    RetireWithoutAllSideProcesses,
    SettleTwice,
    SenderIsNotDebited,
    ResponseAcceptedTwice,
    LostReportIsRepeated,
    TopupWithoutId,
}

#[derive(Clone, Debug)]
pub enum Step {
    Topup {
        budget: usize,
        id: u8,
        amount: u16,
        fault: SwapFault,
    },
    RequestGrant {
        router: usize,
        budget: usize,
        need: u16,
        faults: Vec<SwapFault>,
    },
    Dispatch {
        router: usize,
        budget: usize,
        amount: u16,
    },
    EndRun {
        run: usize,
        actual: u16,
    },
    SendReports {
        router: usize,
        faults: Vec<SwapFault>,
    },
    ReturnTokens {
        router: usize,
        budget: usize,
        amount: u16,
    },
    Transfer {
        receiver: usize,
        sender: usize,
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

fn fault(g: &mut Gen) -> SwapFault {
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

fn faults(g: &mut Gen) -> Vec<SwapFault> {
    // The response is lost and the following read fails, so the outcome stays unknown for a while.
    if u8::arbitrary(g) % 4 == 0 {
        return vec![SwapFault::ResponseLost, SwapFault::Unreachable];
    }
    (0..usize::arbitrary(g) % 4).map(|_| fault(g)).collect()
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
                fault: fault(g),
            },
            1..=3 => Self::RequestGrant {
                router,
                budget,
                need: amount,
                faults: faults(g),
            },
            4..=6 => Self::Dispatch {
                router,
                budget,
                amount: amount / 4,
            },
            7..=9 => Self::EndRun {
                run: usize::arbitrary(g),
                actual: amount / 2,
            },
            10 | 11 => Self::SendReports {
                router,
                faults: faults(g),
            },
            12 | 13 => Self::ReturnTokens {
                router,
                budget,
                amount,
            },
            14 => Self::Transfer {
                receiver: router,
                sender: usize::arbitrary(g) % ROUTERS,
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
