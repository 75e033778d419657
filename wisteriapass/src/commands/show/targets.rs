//! `show targets`: targets of the inventory, with the status that their side processes report.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriapass_config::{Target, TargetKind};
use wisteriapass_daemon::rpc::{CallError, ProcessStatus};

use crate::commands::show::FleetInventory;
use crate::fleet::{self, Process};
use crate::{Context, Exit, Result, Table};

/// State of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    InService,
    Draining,
    Stopping,
    NoAnswer,
}

/// Row of one target.
#[derive(Serialize)]
struct Row {
    name: String,
    kind: TargetKind,
    vm: String,
    failure_domain: String,
    side: SocketAddr,
    offers: Vec<String>,
    slots: u32,
    working: Option<u64>,
    draining: bool,
    state: State,
}

impl Row {
    fn new(target: &Target, draining: bool, answer: &Result<ProcessStatus, CallError>) -> Self {
        let status = answer.as_ref().ok().filter(|s| s.name == target.name);
        let state = match status {
            None => State::NoAnswer,
            Some(s) if s.stopping => State::Stopping,
            Some(_) if draining => State::Draining,
            Some(_) => State::InService,
        };
        let models = target.model.iter().map(|m| m.name.clone());
        Self {
            name: target.name.clone(),
            kind: target.kind,
            vm: target.vm.clone(),
            failure_domain: target.failure_domain.clone(),
            side: target.side,
            offers: models.chain(target.services.iter().cloned()).collect(),
            slots: target.slots,
            working: status.map(|s| s.working),
            draining,
            state,
        }
    }

    fn cells(&self) -> [String; 9] {
        let kind = match self.kind {
            TargetKind::Engine => "engine",
            TargetKind::Service => "service",
        };
        let state = match (self.state, self.draining) {
            (State::InService, _) => "in service",
            (State::Draining, _) => "draining",
            (State::Stopping, _) => "stopping",
            (State::NoAnswer, false) => "no answer",
            (State::NoAnswer, true) => "draining, no answer",
        };
        [
            self.name.clone(),
            kind.into(),
            self.vm.clone(),
            self.failure_domain.clone(),
            self.side.to_string(),
            self.offers.join(","),
            self.slots.to_string(),
            self.working.map_or("-".into(), |w| w.to_string()),
            state.into(),
        ]
    }
}

/// Shows the targets of an inventory; fails unless all their side processes answer.
pub(super) fn show(cx: &mut Context<'_>, fleet_inventory: &FleetInventory) -> Result<Exit> {
    let targets = &fleet_inventory.inventory.target;
    let sides: Vec<Process> = fleet::side_processes(&fleet_inventory.inventory).collect();
    let control = cx.control;
    let answers = fleet::query_all(&sides, |p| control.status(p.control));
    let pairs = targets.iter().zip(&answers);
    let rows: Vec<Row> = pairs
        .map(|(t, a)| Row::new(t, fleet_inventory.inventory.is_draining(t), a))
        .collect();
    let mut table = Table::new([
        "TARGET", "KIND", "VM", "DOMAIN", "SIDE", "OFFERS", "SLOTS", "WORKING", "STATE",
    ]);
    for row in &rows {
        table.push_row(row.cells());
    }
    cx.out.print(&table, &rows)?;
    if rows.iter().any(|r| r.state == State::NoAnswer) {
        return Ok(Exit::Unreachable);
    }
    Ok(Exit::Success)
}
