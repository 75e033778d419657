//! Execution of orders at the target of this side process, after the gate has admitted them.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::Serialize;
use wisteriapass_coord::order::{
    FencingGate, FencingToken, Order, Permit, Refusal as OrderRefusal, WeightBucket,
};
use wisteriapass_coord::store::HttpStore;

use crate::http::send_limited;
use crate::prelude::*;

/// Maximum rate at which the fleet loads from the weight store, in bytes per second.
const WEIGHT_RATE: u64 = 16 << 20;

/// Timeout for one order at the target, in seconds.
const TARGET_TIMEOUT_S: u64 = 30;

/// Maximum size of the target's answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 10;

/// Executes orders at one target.
pub struct OrderExecutor {
    target: SocketAddr,
    store: HttpStore,
    gate: Mutex<FencingGate>,
}

impl Service for OrderExecutor {
    const NAME: &'static str = "orders";
}

/// Body of `POST /orders` at a target.
#[derive(Debug, Default, Serialize)]
struct TargetOrder<'a> {
    order: &'static str,
    model: &'a str,
    version: &'a str,
    adapter: &'a str,
    role: &'a str,
    fencing: u64,
}

impl OrderExecutor {
    /// Creates the executor for the target `name` at the address `target`, with the key-value
    /// service at the address `store`.
    pub fn new(name: &str, target: SocketAddr, store: SocketAddr) -> Self {
        Self {
            target,
            store: HttpStore::new(store.to_string()),
            gate: Mutex::new(FencingGate::new(name)),
        }
    }

    /// Executes an order from the key-value service. An order that loads weights waits until the
    /// rate limit of the weight store allows it.
    ///
    /// # Errors
    ///
    /// The gate's refusal, or the error of the key-value service or the target.
    pub fn execute(&self, token: FencingToken) -> Result<(), String> {
        let permit = self.admit(token).map_err(|e| e.to_string())?;
        if let Order::Load { bytes, .. } = permit.order {
            self.wait_for_weights(bytes, token)?;
        }
        // The permit may have expired during the wait, so the order is checked again.
        let permit = self.admit(token).map_err(|e| e.to_string())?;
        let mut gate = self.gate.lock();
        gate.redeem(&permit, Instant::now())
            .map_err(|e| e.to_string())?;
        self.send(&permit)
    }

    fn admit(&self, token: FencingToken) -> Result<Permit, OrderRefusal> {
        let now = Instant::now();
        let admitted = self.gate.lock().admit(&self.store, token, now);
        if let Err(e) = &admitted {
            log::warn!(target: "fleet", "Order refused. token={token} cause={e:?}");
        }
        admitted
    }

    fn wait_for_weights(&self, bytes: u64, token: FencingToken) -> Result<(), String> {
        let op = format!("{}/{token}", self.target);
        let bucket = WeightBucket::new(WEIGHT_RATE);
        let start = bucket.reserve(&self.store, bytes, unix_ms(), &op);
        let start = start.map_err(|e| e.to_string())?;
        let wait_ms = start.at_ms.saturating_sub(unix_ms());
        std::thread::sleep(Duration::from_millis(wait_ms));
        Ok(())
    }

    fn send(&self, permit: &Permit) -> Result<(), String> {
        let body = target_order(permit);
        let text = serde_json::to_string(&body).map_err(|e| e.to_string())?;
        let request = minreq::post(format!("http://{}/orders", self.target))
            .with_header("content-type", "application/json")
            .with_body(text)
            .with_timeout(TARGET_TIMEOUT_S);
        let answer = send_limited(request, MAX_ANSWER_BYTES).map_err(|e| e.to_string())?;
        log::info!(
            target: "fleet",
            "Order sent. token={} status={}",
            permit.token,
            answer.status
        );
        match answer.status {
            200 => Ok(()),
            status => Err(format!("the target refused the order with status {status}")),
        }
    }
}

fn target_order(permit: &Permit) -> TargetOrder<'_> {
    let fencing = permit.token.0;
    match &permit.order {
        Order::Load {
            model,
            version,
            adapter,
            ..
        } => TargetOrder {
            order: "load",
            model,
            version,
            adapter: adapter.as_deref().unwrap_or_default(),
            role: "",
            fencing,
        },
        Order::Unload {
            model,
            version,
            adapter,
        } => TargetOrder {
            order: "unload",
            model,
            version,
            adapter: adapter.as_deref().unwrap_or_default(),
            role: "",
            fencing,
        },
        Order::ChangeRole { role } => TargetOrder {
            order: "role",
            role,
            fencing,
            ..TargetOrder::default()
        },
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
