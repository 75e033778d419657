//! Loans from other routers, for when the store has nothing left or cannot be reached.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;
use rand::seq::SliceRandom;
use wisteriapass_config::Document;
use wisteriapass_coord::budget::{BudgetId, Tokens};

use crate::prelude::*;
use crate::router::{ConfigInForce, MoneyManager};
use crate::rpc::{RouterControlClient, RpcClient};

/// Maximum number of routers asked for one request.
const MAX_PEERS_ASKED: usize = 5;

/// Time for which a router that did not answer or had nothing to lend is not asked again, in
/// milliseconds; in a partition each such call delays a request until it times out.
const BACKOFF_MS: u64 = 2_000;

/// The other routers of the fleet.
pub struct Peers {
    own_name: String,
    config: Arc<ConfigInForce>,
    rpc: Arc<RpcClient>,
    backoffs: Mutex<HashMap<BackoffKey, Instant>>,
}

/// A router and the budget for which it is not asked until the back-off ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BackoffKey {
    peer: SocketAddr,
    budget: BudgetId,
}

impl Peers {
    /// Creates the peers of the router named `own_name`.
    pub fn new(own_name: &str, config: Arc<ConfigInForce>, rpc: Arc<RpcClient>) -> Self {
        Self {
            own_name: own_name.into(),
            config,
            rpc,
            backoffs: Mutex::default(),
        }
    }

    /// Returns the configuration in force.
    pub(super) fn document(&self) -> Arc<Document> {
        self.config.document()
    }

    /// Returns the client for control calls.
    pub(super) fn rpc(&self) -> &RpcClient {
        &self.rpc
    }

    /// Returns a few routers in random order, so that not all routers ask the same one first.
    fn peers_to_ask(&self, budget: &BudgetId) -> Vec<SocketAddr> {
        let document = self.config.document();
        let now = Instant::now();
        let mut backoffs = self.backoffs.lock();
        backoffs.retain(|_, until| *until > now);
        let is_backing_off = |peer| {
            backoffs.contains_key(&BackoffKey {
                peer,
                budget: budget.clone(),
            })
        };
        let mut peers: Vec<SocketAddr> = document
            .inventory
            .router
            .iter()
            .filter(|r| r.name != self.own_name)
            .map(|r| r.control)
            .filter(|peer| !is_backing_off(*peer))
            .collect();
        peers.shuffle(&mut rand::rng());
        peers.truncate(MAX_PEERS_ASKED);
        peers
    }

    fn back_off(&self, peer: SocketAddr, budget: &BudgetId) {
        let until = Instant::now() + Duration::from_millis(BACKOFF_MS);
        self.backoffs.lock().insert(
            BackoffKey {
                peer,
                budget: budget.clone(),
            },
            until,
        );
    }
}

impl MoneyManager {
    /// Borrows the amount that the wallet lacks from other routers.
    pub(super) fn borrow(&self, budget: &BudgetId, amount: Tokens, deadline: Instant) {
        for peer in self.peers.peers_to_ask(budget) {
            let missing = amount.saturating_sub(self.state.lock().wallet.held(budget));
            if missing.is_zero() || Instant::now() >= deadline {
                return;
            }
            self.borrow_from(peer, budget, missing);
        }
    }

    fn borrow_from(&self, peer: SocketAddr, budget: &BudgetId, missing: Tokens) {
        let request = self.state.lock().wallet.request_transfer(budget, missing);
        let id = request.id;
        let lent = self
            .peers
            .rpc
            .call(peer, |c| async move { c.lend(request).await });
        match lent {
            Ok(transfer) => {
                let received = self.state.lock().wallet.receive_transfer(transfer);
                log::debug!(target: "money", "Borrowed. budget={budget} amount={received}");
                if received.is_zero() {
                    self.peers.back_off(peer, budget);
                }
            }
            Err(e) => {
                // Money lent in an answer that was lost stays outstanding until the lender's origin
                // is retired.
                self.state.lock().wallet.cancel_transfer(id);
                self.peers.back_off(peer, budget);
                log::info!(target: "money", "Cannot borrow. peer={peer} cause={e:?}");
            }
        }
    }
}
