//! Orders of a holder that another has overtaken.

use wisteriapass_coord::membership::Incarnation;
use wisteriapass_coord::order::{FencingToken, IssueOutcome, Order, issue, read_order};
use wisteriapass_daemon::rpc::{ControlClient, RpcClient};

use crate::fleet::Fleet;

/// Adapter that orders load and unload; no caller asks for it.
const ADAPTER: &str = "faults";

/// Size of the adapter, in bytes.
const BYTES: u64 = 4_096;

/// Issues two orders to a target and sends both, the overtaken one last.
pub(super) fn overtake(fleet: &Fleet, target: &str, model: &str) {
    let store = fleet.platform().store();
    let document = fleet.document();
    let targets = &document.inventory.target;
    let Some(side) = targets.iter().find(|t| t.name == target) else {
        return;
    };
    let Ok(last) = read_order(store, target) else {
        return;
    };
    let mut seen = last.map_or(FencingToken(0), |r| r.token);
    let first = FencingToken(seen.0 + 1);
    for order in [load(model), unload(model)] {
        let op = format!("{target}-{seen}");
        let holder = Incarnation::new(seen.0, 0);
        match issue(store, target, seen, &order, holder, &op) {
            Ok(IssueOutcome::Accepted(token)) => seen = token,
            Ok(IssueOutcome::Superseded(_)) | Err(_) => return,
        }
    }
    let control = side.side_control;
    // The target may be paused or cut off; the other faults don't wait for it.
    std::thread::spawn(move || {
        let Ok(caller) = RpcClient::new() else {
            return;
        };
        for token in [seen, first] {
            let sent = caller.call(control, move |c| async move {
                ControlClient::order(&c, token).await
            });
            log::debug!(target: "faults", "Order {token}: {:?}.", sent.is_ok());
        }
    });
}

fn load(model: &str) -> Order {
    Order::Load {
        model: model.into(),
        version: String::new(),
        adapter: Some(ADAPTER.into()),
        bytes: BYTES,
    }
}

fn unload(model: &str) -> Order {
    Order::Unload {
        model: model.into(),
        version: String::new(),
        adapter: Some(ADAPTER.into()),
    }
}
