//! Checks whether this router's time of day agrees with that of the others.

use std::collections::BTreeMap;

use crate::prepaid::stamp::CLOCK_TOLERANCE_MS;
use crate::prepaid::{HolderId, ShareRecord, Stamp};

/// Minimum number of other routers whose stamps have to agree. With fewer, two clocks with the same
/// wrong setting would outvote a third.
const MIN_OTHERS: usize = 2;

/// What was observed of the other routers' writes.
#[derive(Debug, Default)]
pub struct ClockCheck {
    /// From the last record that is known to have been the newest.
    confirmed: Observation,
    /// From the record that was checked last.
    last: Observation,
    /// How far the time of day was ahead of the boot clock when it last agreed with the others, in
    /// milliseconds. While that difference stays the same, the time of day still agrees.
    offset_ms: Option<i64>,
}

/// Observation of one record.
#[derive(Clone, Debug, Default)]
struct Observation {
    at: Option<Stamp>,
    writes: BTreeMap<HolderId, (u64, u64)>,
}

impl ClockCheck {
    /// Checks a record that was read before `now`.
    ///
    /// Returns whether the time of day agreed with that of all routers that wrote between two
    /// checks, of which there have to be two at least, and was not set since.
    pub fn check(&mut self, me: &HolderId, now: Stamp, record: &ShareRecord) -> bool {
        let others = record.holder_entries().filter(|(id, _)| *id != me);
        let confirmed = self.confirmed.at;
        let elapsed_ms = confirmed.map_or(0, |at| now.since_boot.saturating_sub(at.since_boot));
        let (mut new_writes, mut agrees) = (0, true);
        let mut observation = Observation {
            at: Some(now),
            writes: BTreeMap::new(),
        };
        for (id, entry) in others {
            let write = (entry.process, entry.write);
            let before = self.confirmed.writes.get(id).copied();
            observation.writes.insert(id.clone(), write);
            if before.is_none_or(|before| before == write) {
                continue;
            }
            let age_ms = now.since_by_time_of_day(entry.stamp);
            agrees &= age_ms.is_some_and(|age_ms| age_ms <= elapsed_ms + CLOCK_TOLERANCE_MS);
            new_writes += 1;
        }
        self.last = observation;
        if !agrees {
            self.offset_ms = None;
        } else if new_writes >= MIN_OTHERS {
            self.offset_ms = Some(offset_ms(now));
        }
        let drift_ms = |before: i64| offset_ms(now).abs_diff(before);
        self.offset_ms
            .is_some_and(|before| drift_ms(before) <= CLOCK_TOLERANCE_MS)
    }

    /// Notes that the record checked last was the newest, because this router's write replaced it.
    pub fn confirm(&mut self) {
        self.confirmed = self.last.clone();
    }
}

fn offset_ms(stamp: Stamp) -> i64 {
    stamp.time_of_day as i64 - stamp.since_boot as i64
}
