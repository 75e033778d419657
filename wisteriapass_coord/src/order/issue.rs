//! Issuing an order: its token is taken from the service together with the order itself.

use crate::membership::Incarnation;
use crate::order::{FencingToken, Order, OrderError, OrderRecord, Result};
use crate::store::{Entry, Revision, Store, Swap};

/// Times that an order is tried when the service loses answers.
const TRIES: u32 = 4;

/// Outcome of issuing an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssueOutcome {
    /// The order stands under this token.
    Accepted(FencingToken),
    /// Refused without effect: another order came after the one that this was made from.
    Superseded(Box<OrderRecord>),
}

/// Returns the key of the orders to a target.
pub fn order_key(target: &str) -> String {
    format!("orders/{target}")
}

/// Reads the latest order to a target.
///
/// # Errors
///
/// [`OrderError::Store`] without an answer, [`OrderError::Malformed`] for another text.
pub fn read_order(store: &dyn Store, target: &str) -> Result<Option<OrderRecord>> {
    let entry = store.get(&order_key(target))?;
    entry.map(|e| parse(&e)).transpose()
}

/// Issues `order` to `target`, made in the knowledge of the order `seen` (token 0: of none).
///
/// A holder that paused past its lease has seen an old token and is refused. May be repeated with
/// the same operation id: the order is issued once.
///
/// # Errors
///
/// [`OrderError::Store`] if the service gave no answer; repeat with the same `op`.
pub fn issue(
    store: &dyn Store,
    target: &str,
    seen: FencingToken,
    order: &Order,
    holder: Incarnation,
    op: &str,
) -> Result<IssueOutcome> {
    let key = order_key(target);
    let record = OrderRecord {
        token: FencingToken(seen.0 + 1),
        order: order.clone(),
        holder,
        op: op.into(),
    };
    let text = serde_json::to_string(&record).map_err(|e| malformed(&key, &e))?;
    let mut lost = OrderError::Contended { key: key.clone() };
    for _ in 0..TRIES {
        let entry = store.get(&key)?;
        let current = entry.as_ref().map(parse).transpose()?;
        if let Some(current) = current.filter(|c| c.op == op || c.token != seen) {
            return Ok(standing(current, op));
        }
        let expected = entry.map_or(Revision::ABSENT, |e| e.revision);
        match store.swap(&key, expected, &text, None) {
            Ok(Swap::Done(_)) => return Ok(IssueOutcome::Accepted(record.token)),
            Ok(Swap::Conflict(_)) => {}
            Err(e) => lost = e.into(),
        }
    }
    Err(lost)
}

fn standing(current: OrderRecord, op: &str) -> IssueOutcome {
    if current.op == op {
        return IssueOutcome::Accepted(current.token);
    }
    IssueOutcome::Superseded(Box::new(current))
}

fn parse(entry: &Entry) -> Result<OrderRecord> {
    serde_json::from_str(&entry.value).map_err(|e| malformed(&entry.key, &e))
}

fn malformed(key: &str, e: &serde_json::Error) -> OrderError {
    OrderError::Malformed {
        key: key.into(),
        cause: e.to_string(),
    }
}
