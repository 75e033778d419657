//! Writes that carry the shares of several routers never exceed the total, in any history.

use quickcheck_macros::quickcheck;
use wisteriapass_coord::prepaid::{ShareHolder, ShareRecord, Stamp};

use crate::support::{ACCOUNT, at, varied_holder};

const TOTAL: u64 = 20_000;
const NAMES: [&str; 3] = ["a", "b", "c"];

/// A write in progress: the record, the revision that it expects, and the routers that it carries.
struct Write {
    expects: u64,
    record: ShareRecord,
    carried: Vec<(usize, Option<Stamp>)>,
}

struct Router {
    holder: ShareHolder,
    /// Whether a write that contains its share has no known outcome yet.
    is_writing: bool,
    /// Reserved by requests in progress.
    reserved: u64,
}

/// The key-value store, the routers, and writes that are delayed.
struct World {
    revision: u64,
    record: ShareRecord,
    routers: Vec<Router>,
    late: Vec<Write>,
    processes: u64,
    /// Settled or reserved by all processes, including those that were killed.
    spent: u64,
}

impl World {
    fn new() -> Self {
        let router = |(name, process): (&&str, u64)| Router {
            holder: varied_holder(name, process, TOTAL, at(0)),
            is_writing: false,
            reserved: 0,
        };
        Self {
            revision: 0,
            record: ShareRecord::default(),
            routers: NAMES.iter().zip(1..).map(router).collect(),
            late: Vec::new(),
            processes: 3,
            spent: 0,
        }
    }

    fn reserve(&mut self, who: usize, now: u64, max_cost: u64) {
        let router = &mut self.routers[who];
        if router.holder.reserve(now, ACCOUNT, max_cost).is_ok() {
            router.reserved += max_cost;
            self.spent += max_cost;
        }
    }

    fn settle(&mut self, who: usize, part: u64) {
        let router = &mut self.routers[who];
        let (max_cost, used) = (router.reserved, router.reserved * part / 255);
        router.holder.settle(ACCOUNT, max_cost, used);
        router.reserved = 0;
        self.spent -= max_cost - used;
    }

    /// Composes one write that carries the shares of one router and of others without a write in
    /// progress.
    fn compose(&mut self, first: usize, others: u8, now: u64) -> Option<Write> {
        if self.routers[first].is_writing {
            return None;
        }
        let mut write = Write {
            expects: self.revision,
            record: self.record.clone(),
            carried: Vec::new(),
        };
        let joining = (0..NAMES.len()).filter(|i| *i != first && others & (1 << i) != 0);
        for i in std::iter::once(first).chain(joining) {
            let router = &mut self.routers[i];
            let entry = write.record.holder_entry(router.holder.id());
            let is_known = entry.is_some_and(|e| e.process == router.holder.process());
            if router.is_writing || i != first && !is_known {
                continue;
            }
            write.record = router.holder.compose(now, at(now), &write.record);
            write.carried.push((i, router.holder.note_sent(at(now))));
            router.is_writing = true;
        }
        Some(write)
    }

    fn swap(&mut self, write: &Write) -> bool {
        if self.revision != write.expects {
            return false;
        }
        self.revision += 1;
        self.record = write.record.clone();
        true
    }

    /// Ends a write; the router at `unaware` does not learn the outcome.
    fn end(&mut self, write: Write, is_late: bool, unaware: usize) {
        let is_done = !is_late && self.swap(&write);
        for (i, before) in &write.carried {
            let router = &mut self.routers[*i];
            if is_late || *i == unaware {
                // A router that does not know the outcome reads the record before its next write.
                router.holder.adopt(&self.record);
            } else if is_done {
                assert!(router.holder.adopt(&self.record));
            } else {
                router.holder.note_not_applied(*before);
            }
            router.is_writing = false;
        }
        if is_late {
            self.late.push(write);
        }
    }

    fn kill(&mut self, who: usize, now: u64) {
        self.processes += 1;
        self.routers[who] = Router {
            holder: varied_holder(NAMES[who], self.processes, TOTAL, at(now)),
            is_writing: false,
            reserved: 0,
        };
    }
}

#[quickcheck]
fn no_history_of_carried_writes_spends_more_than_the_total(steps: Vec<(u8, u8, u8, u8)>) {
    let mut world = World::new();
    let mut now = 0;
    for (what, who, x, gap) in steps {
        now += u64::from(gap) * 8;
        let who = usize::from(who) % NAMES.len();
        world.routers[who].holder.unseal(at(now));
        match what % 8 {
            0..=2 => world.reserve(who, now, 1 + u64::from(x) * 4),
            3 => world.settle(who, u64::from(x)),
            4..=5 => {
                if let Some(write) = world.compose(who, x, now) {
                    let unaware = usize::from(x >> 4) % 6;
                    world.end(write, x & 8 != 0, unaware);
                }
            }
            6 => {
                if let Some(write) = world.late.pop() {
                    world.swap(&write);
                }
            }
            _ => world.kill(who, now),
        }
        assert!(world.spent <= TOTAL, "{} of {TOTAL}", world.spent);
        assert!(world.record.granted(ACCOUNT) <= TOTAL);
    }
}
