//! `show refusals` and `show retries`: sums of the daemons' counters, by reason.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriapass_daemon::rpc::ReasonCount;

use crate::commands::show::FleetInventory;
use crate::control::Counter;
use crate::{Context, Exit, Result, Table, fleet};

/// Output of `show refusals` and `show retries`.
#[derive(Serialize)]
struct CountsOutput {
    reasons: Vec<ReasonCount>,
    silent: Vec<String>,
}

/// Shows a counter summed over the daemons that answer; fails unless all do.
pub(super) fn show(
    cx: &mut Context<'_>,
    fleet_inventory: &FleetInventory,
    counter: Counter,
) -> Result<Exit> {
    let processes = fleet::processes(&fleet_inventory.inventory);
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
    let output = CountsOutput {
        reasons: reasons
            .map(|(reason, count)| ReasonCount { reason, count })
            .collect(),
        silent,
    };
    cx.out.print(&text(&output), &output)?;
    if output.silent.is_empty() {
        return Ok(Exit::Success);
    }
    Ok(Exit::Unreachable)
}

fn text(output: &CountsOutput) -> String {
    let mut table = Table::new(["REASON", "COUNT"]);
    for count in &output.reasons {
        table.push_row([count.reason.clone(), count.count.to_string()]);
    }
    if output.silent.is_empty() {
        return table.to_string();
    }
    format!("{table}no answer from {}", output.silent.join(", "))
}
