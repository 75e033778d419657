//! Report of a load pattern.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Serialize;

use super::Pattern;
use crate::load::{Event, Record, Tally};

/// Results of the calls of one account and class.
#[derive(Clone, Debug, Serialize)]
pub struct CallGroup {
    /// Client account.
    pub account: String,
    /// Request class.
    pub class: String,
    /// Totals over the calls of the group.
    pub tally: Tally,
}

/// Report of a load pattern.
#[derive(Clone, Debug, Serialize)]
pub struct DriveReport {
    /// Pattern that was run.
    pub pattern: Pattern,
    /// Random seed of the run.
    pub seed: u64,
    /// Totals over all calls.
    pub all: Tally,
    /// Totals by account and class.
    pub groups: Vec<CallGroup>,
}

impl DriveReport {
    /// Summarizes a history.
    pub(super) fn new(pattern: Pattern, seed: u64, records: &[Record]) -> Self {
        let mut group_keys = HashMap::new();
        for record in records {
            if let Event::Sent { call, .. } = &record.event {
                let class = call.class.clone().unwrap_or_default();
                group_keys.insert(call.id, (call.account.clone(), class));
            }
        }
        let mut by_group = BTreeMap::<_, Vec<Record>>::new();
        for record in records {
            if let Some(key) = group_keys.get(&record.call) {
                by_group.entry(key).or_default().push(record.clone());
            }
        }
        let groups = by_group
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
            write_row(f, &group.account, &group.class, &group.tally)?;
        }
        write_row(f, "all", "", &self.all)?;
        for (reason, count) in &self.all.refused {
            writeln!(f, "refused with {reason}: {count}")?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, account: &str, class: &str, tally: &Tally) -> fmt::Result {
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
