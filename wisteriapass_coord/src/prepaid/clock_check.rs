//! Whether this router's time of day agrees with that of the others.

use std::collections::BTreeMap;

use crate::prepaid::stamp::AGREE_MS;
use crate::prepaid::{HolderId, ShareRecord, Stamp};

/// Other routers whose stamps have to agree, at the least: with fewer, two clocks that were set
/// alike would outvote a third.
const LEAST_OTHERS: usize = 2;

/// What was seen of the other routers' writes.
#[derive(Debug, Default)]
pub struct ClockCheck {
    /// As of the last record that is known to have been the newest.
    known: Look,
    /// As of the record that was looked at last.
    last: Look,
    /// By how much the time of day was ahead of the time since the start of the VM when it agreed
    /// with the others last, in milliseconds: while that stays, it agrees still.
    ahead: Option<i64>,
}

/// One look at a record.
#[derive(Clone, Debug, Default)]
struct Look {
    at: Option<Stamp>,
    writes: BTreeMap<HolderId, (u64, u64)>,
}

impl ClockCheck {
    /// Looks at a record that was read before `now`.
    ///
    /// Returns whether the time of day agreed with that of all routers that wrote between two
    /// looks, two at the least, and was not set since.
    pub fn look(&mut self, me: &HolderId, now: Stamp, record: &ShareRecord) -> bool {
        let others = record.holder_entries().filter(|(id, _)| *id != me);
        let known = self.known.at;
        let waited = known.map_or(0, |at| now.since_boot.saturating_sub(at.since_boot));
        let (mut fresh, mut fits) = (0, true);
        let mut look = Look {
            at: Some(now),
            writes: BTreeMap::new(),
        };
        for (id, tenure) in others {
            let write = (tenure.process, tenure.write);
            let before = self.known.writes.get(id).copied();
            look.writes.insert(id.clone(), write);
            if before.is_none_or(|before| before == write) {
                continue;
            }
            let age = now.since_by_day(tenure.stamp);
            fits &= age.is_some_and(|age| age <= waited + AGREE_MS);
            fresh += 1;
        }
        self.last = look;
        if !fits {
            self.ahead = None;
        } else if fresh >= LEAST_OTHERS {
            self.ahead = Some(ahead(now));
        }
        let set_by = |at: i64| ahead(now).abs_diff(at);
        self.ahead.is_some_and(|at| set_by(at) <= AGREE_MS)
    }

    /// Notes that the record looked at last was the newest: this router's write took its place.
    pub fn confirm(&mut self) {
        self.known = self.last.clone();
    }
}

fn ahead(stamp: Stamp) -> i64 {
    stamp.time_of_day as i64 - stamp.since_boot as i64
}
