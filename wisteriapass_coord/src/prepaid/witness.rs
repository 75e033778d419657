//! Whether this router's time of day agrees with that of the others.

use std::collections::BTreeMap;

use crate::prepaid::stamp::AGREE_MS;
use crate::prepaid::{HolderId, ShareRecord, Stamp};

/// Other routers whose stamps have to agree, at the least: with fewer, two clocks that were set
/// alike would outvote a third.
const LEAST_OTHERS: usize = 2;

/// What was seen of the other routers' writes.
#[derive(Debug, Default)]
pub struct Witness {
    /// As of the last record that is known to have been the newest.
    known: Look,
    /// As of the record that was looked at last.
    last: Look,
}

/// One look at a record.
#[derive(Clone, Debug, Default)]
struct Look {
    at: Option<Stamp>,
    writes: BTreeMap<HolderId, (u64, u64)>,
}

impl Witness {
    /// Looks at a record that was read before `now`.
    ///
    /// Returns whether all routers that wrote since the look that was confirmed last, two at the
    /// least, had a time of day that fits this router's.
    pub fn look(&mut self, me: &HolderId, now: Stamp, record: &ShareRecord) -> bool {
        let others = record.tenures().filter(|(id, _)| *id != me);
        let waited = self
            .known
            .at
            .map_or(0, |at| now.since_boot.saturating_sub(at.since_boot));
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
        fits && fresh >= LEAST_OTHERS
    }

    /// Notes that the record looked at last was the newest: this router's write took its place.
    pub fn confirm(&mut self) {
        self.known = self.last.clone();
    }
}
