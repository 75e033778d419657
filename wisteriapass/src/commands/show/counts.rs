//! `show refusals` and `show retries`: counters of the daemons, by reason.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriapass_daemon::rpc::ReasonCount;

use crate::commands::show::FleetInventory;
use crate::control::Counter;
use crate::{Context, Exit, Result, Table, fleet};

/// Counts of all daemons together.
#[derive(Serialize)]
struct CountsOutput {
    reasons: Vec<ReasonCount>,
    silent: Vec<String>,
}

/// Shows a counter summed over all daemons that answer.
pub(super) fn show(cx: &mut Context<'_>, known: &FleetInventory, counter: Counter) -> Result<Exit> {
    let processes = fleet::processes(&known.inventory);
    let control = cx.control;
    let answers = fleet::query_all(&processes, |p| control.counter(p.control, counter));
    let mut sums: BTreeMap<String, u64> = BTreeMap::new();
    let mut silent = Vec::new();
    for (process, answer) in processes.iter().zip(answers) {
        let Ok(counts) = answer else {
            silent.push(process.name.clone());
            continue;
        };
        for count in counts {
            *sums.entry(count.reason).or_default() += count.count;
        }
    }
    let reasons = sums.into_iter();
    let counts = CountsOutput {
        reasons: reasons
            .map(|(reason, count)| ReasonCount { reason, count })
            .collect(),
        silent,
    };
    cx.out.print(&text(&counts), &counts)?;
    if counts.silent.is_empty() {
        return Ok(Exit::Success);
    }
    Ok(Exit::Unreachable)
}

fn text(counts: &CountsOutput) -> String {
    let mut table = Table::new(["REASON", "COUNT"]);
    for count in &counts.reasons {
        table.push_row([count.reason.clone(), count.count.to_string()]);
    }
    if counts.silent.is_empty() {
        return table.to_string();
    }
    format!("{table}no answer from {}", counts.silent.join(", "))
}
