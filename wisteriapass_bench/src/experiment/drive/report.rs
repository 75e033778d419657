//! The figures of a driven pattern.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Serialize;

use super::Pattern;
use crate::load::{Event, Record, Tally};

/// What became of the calls of one account and class.
#[derive(Clone, Debug, Serialize)]
pub struct CallGroup {
    /// Client account.
    pub account: String,
    /// Class of work.
    pub class: String,
    /// Sums over its calls.
    pub tally: Tally,
}

/// The figures of a driven pattern.
#[derive(Clone, Debug, Serialize)]
pub struct DriveReport {
    /// The pattern.
    pub pattern: Pattern,
    /// Its seed.
    pub seed: u64,
    /// Sums over all calls.
    pub all: Tally,
    /// Sums by account and class.
    pub groups: Vec<CallGroup>,
}

impl DriveReport {
    /// Sums up a history.
    pub(super) fn new(pattern: Pattern, seed: u64, records: &[Record]) -> Self {
        let mut names = HashMap::new();
        for record in records {
            if let Event::Sent { call, .. } = &record.event {
                let class = call.class.clone().unwrap_or_default();
                names.insert(call.id, (call.account.clone(), class));
            }
        }
        let mut by_name = BTreeMap::<_, Vec<Record>>::new();
        for record in records {
            if let Some(name) = names.get(&record.call) {
                by_name.entry(name).or_default().push(record.clone());
            }
        }
        let groups = by_name
            .into_iter()
            .map(|((account, class), records)| CallGroup {
                account: account.clone(),
                class: class.clone(),
                tally: Tally::of(&records),
            });
        Self {
            pattern,
            seed,
            all: Tally::of(records),
            groups: groups.collect(),
        }
    }
}

impl fmt::Display for DriveReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "pattern {}, seed {}", self.pattern, self.seed)?;
        writeln!(
            f,
            "account      class          sent answered refused   lost  first p50 ms   p99 ms"
        )?;
        for group in &self.groups {
            line(f, &group.account, &group.class, &group.tally)?;
        }
        line(f, "all", "", &self.all)?;
        for (reason, count) in &self.all.refused {
            writeln!(f, "refused with {reason}: {count}")?;
        }
        Ok(())
    }
}

fn line(f: &mut fmt::Formatter<'_>, account: &str, class: &str, tally: &Tally) -> fmt::Result {
    writeln!(
        f,
        "{account:<12} {class:<12} {:>6} {:>8} {:>7} {:>6} {:>13.1} {:>8.1}",
        tally.sent,
        tally.answered,
        tally.refusals(),
        tally.lost,
        tally.first_piece.p50_us as f64 / 1e3,
        tally.first_piece.p99_us as f64 / 1e3
    )
}
