//! Orders to an engine, each with a fencing token: load a model, unload a model or change role.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::settings::EngineSettings;

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model, with an adapter if one is named.
    Load,
    /// Unload a model.
    Unload,
    /// Change role.
    Role,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Kind of the order.
    pub order: OrderKind,
    /// Model to load or unload.
    #[serde(default)]
    pub model: String,
    /// Version of the model's weights.
    #[serde(default)]
    pub version: String,
    /// Adapter to load with the model.
    #[serde(default)]
    pub adapter: String,
    /// Role to change to.
    #[serde(default)]
    pub role: String,
    /// Fencing token of the sender.
    pub fencing: u64,
}

/// An order and whether it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOutcome {
    /// The order as received.
    pub order: Order,
    /// Whether the engine accepted the order.
    pub accepted: bool,
    /// Highest fencing token received so far, including this order's.
    pub highest_fencing: u64,
}

#[derive(Default)]
struct State {
    models: BTreeSet<String>,
    outcomes: Vec<OrderOutcome>,
    highest_fencing: u64,
}

/// Orders and loaded models of an engine.
pub(super) struct Orders {
    state: Arc<Mutex<State>>,
    serves_any_model: bool,
    checks_fencing: bool,
    weight_store: Option<SocketAddr>,
}

impl Orders {
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                models: settings.models.iter().cloned().collect(),
                ..State::default()
            })),
            serves_any_model: settings.models.is_empty(),
            checks_fencing: settings.checks_fencing,
            weight_store: settings.weight_store,
        }
    }

    /// Returns whether the engine serves requests for a model.
    pub fn has_model(&self, model: &str) -> bool {
        self.serves_any_model || self.state.lock().models.contains(model)
    }

    /// Returns the loaded models.
    pub fn models(&self) -> Vec<String> {
        self.state.lock().models.iter().cloned().collect()
    }

    /// Returns all orders received so far and whether each was accepted.
    pub fn outcomes(&self) -> Vec<OrderOutcome> {
        self.state.lock().outcomes.clone()
    }

    /// Executes an order, unless the engine checks fencing tokens and the order's is outdated.
    pub fn handle(&self, order: Order) -> OrderOutcome {
        let mut state = self.state.lock();
        let accepted = !self.checks_fencing || order.fencing >= state.highest_fencing;
        state.highest_fencing = state.highest_fencing.max(order.fencing);
        let outcome = OrderOutcome {
            order,
            accepted,
            highest_fencing: state.highest_fencing,
        };
        state.outcomes.push(outcome.clone());
        drop(state);
        if accepted {
            self.execute(&outcome.order);
        }
        outcome
    }

    fn execute(&self, order: &Order) {
        match order.order {
            OrderKind::Load => self.load(order.model.clone()),
            OrderKind::Unload => {
                self.state.lock().models.remove(&order.model);
            }
            OrderKind::Role => {}
        }
    }

    /// Loads a model, immediately or once its weights are downloaded from the weight store.
    fn load(&self, model: String) {
        let Some(weight_store) = self.weight_store else {
            self.state.lock().models.insert(model);
            return;
        };
        let state = Arc::clone(&self.state);
        std::thread::spawn(move || {
            let url = format!("http://{weight_store}/weights/{model}");
            match minreq::get(url).with_header("connection", "close").send() {
                Ok(answer) if answer.status_code == 200 => {
                    state.lock().models.insert(model);
                }
                Ok(answer) => {
                    log::warn!(target: "engine", "weight store refused {model}: status {}", answer.status_code);
                }
                Err(e) => {
                    log::warn!(target: "engine", "download of {model} from the weight store failed: {e}");
                }
            }
        });
    }
}
