//! Orders that a later order supersedes.

use wisteriapass_coord::membership::Incarnation;
use wisteriapass_coord::order::{FencingToken, IssueOutcome, Order, issue, read_order};
use wisteriapass_daemon::rpc::{ControlClient, RpcClient};

use crate::fleet::Fleet;

/// Adapter that the orders load and unload; no caller requests it.
const ADAPTER: &str = "faults";

/// Size of the adapter, in bytes.
const ADAPTER_BYTES: u64 = 4_096;

/// Issues two orders to a target and sends both, the superseded one last.
pub(super) fn send_superseded(fleet: &Fleet, target: &str, model: &str) {
    let store = fleet.platform().store();
    let document = fleet.document();
    let targets = &document.inventory.target;
    let Some(side) = targets.iter().find(|t| t.name == target) else {
        return;
    };
    let Ok(last) = read_order(store, target) else {
        return;
    };
    let mut latest = last.map_or(FencingToken(0), |r| r.token);
    let superseded = FencingToken(latest.0 + 1);
    for order in [load(model), unload(model)] {
        let op = format!("{target}-{latest}");
        let holder = Incarnation::new(latest.0, 0);
        match issue(store, target, latest, &order, holder, &op) {
            Ok(IssueOutcome::Accepted(token)) => latest = token,
            Ok(IssueOutcome::Superseded(_)) | Err(_) => return,
        }
    }
    let control = side.side_control;
    // Runs in its own thread: the target may be paused or unreachable, and the next faults must
    // not be delayed.
    std::thread::spawn(move || {
        let Ok(caller) = RpcClient::new() else {
            return;
        };
        for token in [latest, superseded] {
            let answer = caller.call(control, move |c| async move {
                ControlClient::order(&c, token).await
            });
            log::debug!(target: "faults", "Order {token} accepted: {:?}.", answer.is_ok());
        }
    });
}

fn load(model: &str) -> Order {
    Order::Load {
        model: model.into(),
        version: String::new(),
        adapter: Some(ADAPTER.into()),
        bytes: ADAPTER_BYTES,
    }
}

fn unload(model: &str) -> Order {
    Order::Unload {
        model: model.into(),
        version: String::new(),
        adapter: Some(ADAPTER.into()),
    }
}
