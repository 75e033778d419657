//! Borrowing from other routers, where the service has nothing or cannot be reached.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;
use rand::seq::SliceRandom;
use wisteriapass_config::Document;
use wisteriapass_coord::budget::{BudgetId, Tokens};

use crate::prelude::*;
use crate::router::{ConfigInForce, MoneyManager};
use crate::rpc::{RouterControlClient, RpcClient};

/// Routers asked for one request.
const MOST_ASKED: usize = 5;

/// Time for which a router that did not answer, or had nothing, is not asked again, in
/// milliseconds; in a partition each ask costs a caller the time of a whole call.
const REST_MS: u64 = 2_000;

/// The other routers.
pub struct Peers {
    own_name: String,
    config: Arc<ConfigInForce>,
    caller: Arc<RpcClient>,
    resting: Mutex<HashMap<Resting, Instant>>,
}

/// A router that is not asked for a budget's money for a while.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Resting {
    peer: SocketAddr,
    budget: BudgetId,
}

impl Peers {
    /// Creates the peers of the router of this name.
    pub fn new(own_name: &str, config: Arc<ConfigInForce>, caller: Arc<RpcClient>) -> Self {
        Self {
            own_name: own_name.into(),
            config,
            caller,
            resting: Mutex::default(),
        }
    }

    /// Returns the configuration in force.
    pub(super) fn document(&self) -> Arc<Document> {
        self.config.document()
    }

    /// Returns what makes control calls.
    pub(super) fn caller(&self) -> &RpcClient {
        &self.caller
    }

    /// Returns a few routers in random order, so that no router is asked by all others first.
    fn to_ask(&self, budget: &BudgetId) -> Vec<SocketAddr> {
        let document = self.config.document();
        let now = Instant::now();
        let mut resting = self.resting.lock();
        resting.retain(|_, until| *until > now);
        let rests = |peer| {
            resting.contains_key(&Resting {
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
            .filter(|peer| !rests(*peer))
            .collect();
        peers.shuffle(&mut rand::rng());
        peers.truncate(MOST_ASKED);
        peers
    }

    fn rest(&self, peer: SocketAddr, budget: &BudgetId) {
        let until = Instant::now() + Duration::from_millis(REST_MS);
        self.resting.lock().insert(
            Resting {
                peer,
                budget: budget.clone(),
            },
            until,
        );
    }
}

impl MoneyManager {
    /// Asks other routers for what the wallet lacks.
    pub(super) fn borrow(&self, budget: &BudgetId, amount: Tokens, deadline: Instant) {
        for peer in self.peers.to_ask(budget) {
            let missing = amount.saturating_sub(self.held.lock().wallet.held(budget));
            if missing.is_zero() || Instant::now() >= deadline {
                return;
            }
            self.borrow_from(peer, budget, missing);
        }
    }

    fn borrow_from(&self, peer: SocketAddr, budget: &BudgetId, missing: Tokens) {
        let ask = self.held.lock().wallet.request_transfer(budget, missing);
        let id = ask.id;
        let lent = self
            .peers
            .caller
            .call(peer, |c| async move { c.lend(ask).await });
        match lent {
            Ok(transfer) => {
                let got = self.held.lock().wallet.receive_transfer(transfer);
                log::debug!(target: "money", "Borrowed. budget={budget} amount={got}");
                if got.is_zero() {
                    self.peers.rest(peer, budget);
                }
            }
            Err(e) => {
                // What was lent and lost stays out until the lender's origin is retired.
                self.held.lock().wallet.cancel_transfer(id);
                self.peers.rest(peer, budget);
                log::info!(target: "money", "Cannot borrow. peer={peer} cause={e:?}");
            }
        }
    }
}
