//! Which targets are told to leave, and since when.

use std::collections::BTreeMap;

use super::facts::LeavingPeriod;

/// How a target is told to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Word {
    /// Drained in the inventory.
    Drained,
    /// Its VM is leaving by the VM list.
    VmLeaving,
}

/// Words in force, and the times of those taken back.
#[derive(Debug, Default)]
pub(super) struct Leavers {
    /// Words in force: how many faults give the word, and when it was first given.
    open: BTreeMap<(String, Word), Given>,
    past: Vec<LeavingPeriod>,
}

/// A word in force.
#[derive(Clone, Copy, Debug)]
struct Given {
    /// Faults that give it.
    faults: usize,
    /// When it was given, in microseconds since the history began.
    from_us: u64,
}

impl Leavers {
    /// Notes that a fault gives the word from `from_us` on.
    pub fn begin(&mut self, target: &str, word: Word, from_us: u64) {
        let key = (target.to_owned(), word);
        let given = self.open.entry(key).or_insert(Given { faults: 0, from_us });
        given.faults += 1;
    }

    /// Notes that a fault ends; returns whether the word is to be taken back.
    pub fn end(&mut self, target: &str, word: Word, until_us: u64) -> bool {
        let key = (target.to_owned(), word);
        let Some(given) = self.open.get_mut(&key) else {
            return false;
        };
        given.faults -= 1;
        if given.faults > 0 {
            return false;
        }
        self.past.push(LeavingPeriod {
            target: target.into(),
            from_us: given.from_us,
            until_us,
        });
        self.open.remove(&key);
        true
    }

    /// Returns the times of the words taken back.
    pub fn past(&self) -> &[LeavingPeriod] {
        &self.past
    }
}
