//! `show revision`: revision in force at each daemon.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriapass_daemon::rpc::{CallError, ProcessRole, ProcessStatus};

use crate::commands::show::FleetInventory;
use crate::fleet::Process;
use crate::{Context, Exit, Result, Table, fleet};

/// State of a daemon relative to the expected revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    InForce,
    Behind,
    NoAnswer,
}

/// Row of one daemon.
#[derive(Serialize)]
struct Row {
    name: String,
    role: ProcessRole,
    control: SocketAddr,
    revision: Option<u64>,
    incarnation: Option<String>,
    stopping: bool,
    state: State,
}

/// Output of `show revision`.
#[derive(Serialize)]
struct RevisionOutput {
    expected: u64,
    in_force: usize,
    processes: Vec<Row>,
}

/// Shows the revision of every daemon; fails unless the expected one is in force at all of them.
pub(super) fn show(cx: &mut Context<'_>, fleet_inventory: &FleetInventory) -> Result<Exit> {
    let processes = fleet::processes(&fleet_inventory.inventory);
    let control = cx.control;
    let answers = fleet::query_all(&processes, |p| control.status(p.control));
    // Without the key-value service, the highest revision of any daemon is the expected one.
    let highest = answers.iter().flatten().map(|s| s.revision).max();
    let expected = fleet_inventory.revision.or(highest).unwrap_or(0);
    let pairs = processes.iter().zip(&answers);
    let rows: Vec<Row> = pairs.map(|(p, a)| Row::new(p, a, expected)).collect();
    let in_force = rows.iter().filter(|r| r.state == State::InForce).count();
    let output = RevisionOutput {
        expected,
        in_force,
        processes: rows,
    };
    cx.out.print(&text(&output), &output)?;
    if in_force == output.processes.len() {
        return Ok(Exit::Success);
    }
    Ok(Exit::Unreachable)
}

impl Row {
    fn new(process: &Process, answer: &Result<ProcessStatus, CallError>, expected: u64) -> Self {
        let status = answer.as_ref().ok();
        let state = match status {
            // The address may now belong to another process.
            Some(s) if s.name != process.name => State::NoAnswer,
            Some(s) if s.revision >= expected => State::InForce,
            Some(_) => State::Behind,
            None => State::NoAnswer,
        };
        Self {
            name: process.name.clone(),
            role: process.role,
            control: process.control,
            revision: status.map(|s| s.revision),
            incarnation: status.map(|s| s.incarnation.to_string()),
            stopping: status.is_some_and(|s| s.stopping),
            state,
        }
    }

    fn cells(&self) -> [String; 5] {
        let state = match (self.state, self.stopping) {
            (State::NoAnswer, _) => "no answer",
            (State::Behind, false) => "behind",
            (State::Behind, true) => "behind, stopping",
            (State::InForce, false) => "in force",
            (State::InForce, true) => "in force, stopping",
        };
        [
            self.name.clone(),
            self.role.to_string(),
            self.control.to_string(),
            self.revision.map_or("-".into(), |r| r.to_string()),
            state.into(),
        ]
    }
}

fn text(output: &RevisionOutput) -> String {
    let mut table = Table::new(["PROCESS", "ROLE", "CONTROL", "REVISION", "STATE"]);
    for row in &output.processes {
        table.push_row(row.cells());
    }
    let (expected, in_force, total) = (output.expected, output.in_force, output.processes.len());
    format!("{table}revision {expected} is in force at {in_force} of {total}")
}
