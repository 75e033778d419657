//! `show targets`: what the inventory in force lists.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriapass_config::{Target, TargetKind};

use crate::{Context, Exit, Result, Table, edit};

/// One target.
#[derive(Serialize)]
struct Row {
    name: String,
    kind: TargetKind,
    vm: String,
    failure_domain: String,
    side: SocketAddr,
    offers: Vec<String>,
    slots: u32,
    draining: bool,
}

impl Row {
    fn of(target: &Target) -> Self {
        let models = target.model.iter().map(|m| m.name.clone());
        Self {
            name: target.name.clone(),
            kind: target.kind,
            vm: target.vm.clone(),
            failure_domain: target.failure_domain.clone(),
            side: target.side,
            offers: models.chain(target.services.iter().cloned()).collect(),
            slots: target.slots,
            draining: target.draining,
        }
    }

    fn cells(&self) -> [String; 8] {
        let kind = match self.kind {
            TargetKind::Engine => "engine",
            TargetKind::Service => "service",
        };
        let state = if self.draining {
            "draining"
        } else {
            "in service"
        };
        [
            self.name.clone(),
            kind.into(),
            self.vm.clone(),
            self.failure_domain.clone(),
            self.side.to_string(),
            self.offers.join(","),
            self.slots.to_string(),
            state.into(),
        ]
    }
}

/// Shows the targets of the inventory in force.
pub(super) fn show(cx: &mut Context<'_>) -> Result<Exit> {
    let document = edit::current(cx.store()?)?;
    let rows: Vec<Row> = document.inventory.target.iter().map(Row::of).collect();
    let mut table = Table::new([
        "TARGET", "KIND", "VM", "DOMAIN", "SIDE", "OFFERS", "SLOTS", "STATE",
    ]);
    for row in &rows {
        table.row(row.cells());
    }
    cx.out.print(&table, &rows)?;
    Ok(Exit::Done)
}
