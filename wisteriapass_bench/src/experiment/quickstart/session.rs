//! Caller of the quickstart and its fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{QuickstartError, Result};
use crate::fleet::{AccountPlan, Fleet};
use crate::load::{Answered, Call, Caller, History, Outcome};

/// Caller together with the fleet that it calls.
pub(super) struct Session<'a> {
    pub fleet: &'a Fleet,
    caller: Caller,
}

impl<'a> Session<'a> {
    pub fn new(fleet: &'a Fleet) -> Self {
        Self {
            fleet,
            caller: Caller::new(Arc::new(History::new())),
        }
    }

    /// Creates a chat call of an account.
    pub fn chat(&self, account: &str, prompt: &str) -> Call {
        let id = self.caller.history().new_call_id();
        let model = &self.fleet.plan().models[0];
        Call::chat(id, self.account(account), model, prompt)
    }

    /// Creates a call of an account to the plain service.
    pub fn service(&self, account: &str, method: &str, path: &str, body: &str) -> Call {
        let id = self.caller.history().new_call_id();
        Call::service(id, self.account(account), method, path, body)
    }

    /// Sends a call to the router with this zero-based index.
    pub fn send(&self, router: usize, call: &Call) -> Outcome {
        self.caller.send(self.router_addr(router), call)
    }

    /// Sends a call and returns an error unless it gets the complete, expected answer.
    pub fn ask(&self, router: usize, call: &Call) -> Result<Answered> {
        match self.send(router, call) {
            Outcome::Answered(answered) if answered.is_expected => Ok(answered),
            other => Err(QuickstartError::Unexpected {
                what: format!("expected the complete answer, got {other:?}"),
            }),
        }
    }

    /// Returns the number of runs that the engines have started so far.
    pub fn engine_runs(&self) -> usize {
        let engines = self.fleet.engines().values();
        engines.map(|e| e.executions().len()).sum()
    }

    fn router_addr(&self, index: usize) -> SocketAddr {
        let routers = self.fleet.router_addrs();
        routers[index % routers.len()]
    }

    fn account(&self, name: &str) -> &AccountPlan {
        let accounts = &self.fleet.plan().accounts;
        let found = accounts.iter().find(|a| a.name == name);
        found.expect("the quickstart uses accounts of its own plan")
    }
}
