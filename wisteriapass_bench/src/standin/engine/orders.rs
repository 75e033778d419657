//! Orders to an engine: load and unload models, change role; with a fencing token.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::settings::EngineSettings;

/// What an order asks for.
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
    /// What to do.
    pub order: OrderKind,
    /// Model to load or unload.
    #[serde(default)]
    pub model: String,
    /// Version of its weights.
    #[serde(default)]
    pub version: String,
    /// Adapter to load with it.
    #[serde(default)]
    pub adapter: String,
    /// Role to take.
    #[serde(default)]
    pub role: String,
    /// Fencing token of the giver.
    pub fencing: u64,
}

/// An order and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOutcome {
    /// The order as it came.
    pub order: Order,
    /// Whether it was taken.
    pub accepted: bool,
    /// Highest fencing token seen by then.
    pub highest_fencing: u64,
}

#[derive(Default)]
struct State {
    models: BTreeSet<String>,
    taken: Vec<OrderOutcome>,
    highest_fencing: u64,
}

/// Orders and loaded models of one engine.
pub(super) struct Orders {
    state: Arc<Mutex<State>>,
    serves_any: bool,
    checks_fencing: bool,
    weights: Option<SocketAddr>,
}

impl Orders {
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                models: settings.models.iter().cloned().collect(),
                ..State::default()
            })),
            serves_any: settings.models.is_empty(),
            checks_fencing: settings.checks_fencing,
            weights: settings.weight_store,
        }
    }

    /// Returns whether requests for a model are served.
    pub fn has_model(&self, model: &str) -> bool {
        self.serves_any || self.state.lock().models.contains(model)
    }

    /// Returns the models loaded.
    pub fn models(&self) -> Vec<String> {
        self.state.lock().models.iter().cloned().collect()
    }

    /// Returns all orders so far.
    pub fn taken(&self) -> Vec<OrderOutcome> {
        self.state.lock().taken.clone()
    }

    /// Takes an order, unless its fencing token is old and the engine checks it.
    pub fn take(&self, order: Order) -> OrderOutcome {
        let mut state = self.state.lock();
        let accepted = !self.checks_fencing || order.fencing >= state.highest_fencing;
        state.highest_fencing = state.highest_fencing.max(order.fencing);
        let taken = OrderOutcome {
            order,
            accepted,
            highest_fencing: state.highest_fencing,
        };
        state.taken.push(taken.clone());
        drop(state);
        if accepted {
            self.carry_out(&taken.order);
        }
        taken
    }

    fn carry_out(&self, order: &Order) {
        match order.order {
            OrderKind::Load => self.load(order.model.clone()),
            OrderKind::Unload => {
                self.state.lock().models.remove(&order.model);
            }
            OrderKind::Role => {}
        }
    }

    /// Loads a model; from the weight store it takes until the download ends.
    fn load(&self, model: String) {
        let Some(weights) = self.weights else {
            self.state.lock().models.insert(model);
            return;
        };
        let state = Arc::clone(&self.state);
        std::thread::spawn(move || {
            let url = format!("http://{weights}/weights/{model}");
            match minreq::get(url).with_header("connection", "close").send() {
                Ok(answer) if answer.status_code == 200 => {
                    state.lock().models.insert(model);
                }
                Ok(answer) => {
                    log::warn!(target: "engine", "weight store refused {model}: {}", answer.status_code);
                }
                Err(e) => log::warn!(target: "engine", "weight store failed for {model}: {e}"),
            }
        });
    }
}
