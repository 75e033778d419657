//! Issuing orders: an order and its fencing token are stored by one compare-and-swap.

use crate::membership::Incarnation;
use crate::order::{FencingToken, Order, OrderError, OrderRecord, Result};
use crate::store::{Entry, Revision, Store, Swap};

/// Attempts per order when responses are lost.
const MAX_ATTEMPTS: u32 = 4;

/// Outcome of issuing an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssueOutcome {
    /// The order is issued with this token.
    Accepted(FencingToken),
    /// The order had no effect: another order was issued after the one that this order is based on.
    Superseded(Box<OrderRecord>),
}

/// Returns the key of the latest order to a target.
pub fn order_key(target: &str) -> String {
    format!("orders/{target}")
}

/// Reads the latest order to a target.
///
/// # Errors
///
/// [`OrderError::Store`] if the key-value service failed, [`OrderError::Malformed`] if the record
/// cannot be parsed.
pub fn read_order(store: &dyn Store, target: &str) -> Result<Option<OrderRecord>> {
    let entry = store.get(&order_key(target))?;
    entry.map(|e| parse(&e)).transpose()
}

/// Issues `order` to `target`, based on the order with token `seen` (0 if there was none).
///
/// A holder that paused for longer than its lease has seen an old token, so its order is rejected.
/// This is idempotent: with the same operation id the order is issued once.
///
/// # Errors
///
/// [`OrderError::Store`] if the key-value service failed; retry with the same `op`.
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
    let mut last_error = OrderError::Contended { key: key.clone() };
    for _ in 0..MAX_ATTEMPTS {
        let entry = store.get(&key)?;
        let current = entry.as_ref().map(parse).transpose()?;
        if let Some(current) = current.filter(|c| c.op == op || c.token != seen) {
            return Ok(outcome_of(current, op));
        }
        let expected = entry.map_or(Revision::ABSENT, |e| e.revision);
        match store.swap(&key, expected, &text, None) {
            Ok(Swap::Done(_)) => return Ok(IssueOutcome::Accepted(record.token)),
            Ok(Swap::Conflict(_)) => {}
            Err(e) => last_error = e.into(),
        }
    }
    Err(last_error)
}

fn outcome_of(current: OrderRecord, op: &str) -> IssueOutcome {
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
