//! Callers of a real fleet: the answers that they read, and the history that they record.

use std::sync::Arc;

use wisteriapass_bench::fleet::{AccountPlan, Fleet, FleetPlan, Program};
use wisteriapass_bench::load::{Call, Caller, History, Outcome, Tally};
use wisteriapass_daemon::api::{Ran, Reason};

fn fleet() -> Fleet {
    let program = Program::Tool(env!("CARGO_BIN_EXE_wisteriapass_bench").into());
    Fleet::start(FleetPlan {
        accounts: vec![AccountPlan::new("acme").with_prepaid(1_000_000)],
        ..FleetPlan::new(program)
    })
    .unwrap()
}

/// A caller that sends calls of one account.
struct Client {
    caller: Caller,
    account: AccountPlan,
}

impl Client {
    fn new(fleet: &Fleet) -> Self {
        Self {
            caller: Caller::new(Arc::new(History::new())),
            account: fleet.plan().accounts[0].clone(),
        }
    }

    fn chat(&self, prompt: &str) -> Call {
        let id = self.caller.history().new_call_id();
        Call::chat(id, &self.account, "wisteria-8b", prompt)
    }

    fn put(&self, path: &str, body: &str) -> Call {
        let id = self.caller.history().new_call_id();
        Call::service(id, &self.account, "PUT", path, body)
    }
}

fn is_complete(outcome: &Outcome) -> bool {
    outcome.answered().is_some_and(|a| a.is_expected)
}

#[test]
fn streamed_single_and_service_answers_are_complete() {
    let fleet = fleet();
    let client = Client::new(&fleet);
    for router in fleet.router_addrs() {
        let streamed = client.caller.send(router, &client.chat("one tokens=20"));
        assert!(is_complete(&streamed), "{streamed:?}");
        let single = client.chat("two tokens=20").without_streaming();
        let single = client.caller.send(router, &single);
        assert!(is_complete(&single), "{single:?}");
        let put = client
            .caller
            .send(router, &client.put("/records/7", "text"));
        assert!(is_complete(&put), "{put:?}");
    }
    let tally = Tally::of(&client.caller.history().records());
    assert_eq!((tally.sent, tally.answered), (6, 6));
    assert_eq!(tally.first_piece.count, 2);
    let ran: usize = fleet.engines().values().map(|e| e.executions().len()).sum();
    assert_eq!(ran, 4);
}

#[test]
fn a_wrong_key_is_refused_and_nothing_runs() {
    let fleet = fleet();
    let mut client = Client::new(&fleet);
    client.account.key = "wrong".into();
    let router = fleet.router_addrs()[0];
    let outcome = client.caller.send(router, &client.chat("x"));
    let refusal = &outcome.refused().unwrap().refusal;
    assert_eq!(refusal.reason, Reason::Unauthorized);
    assert_eq!(refusal.ran, Ran::NotRun);
    assert!(fleet.engines().values().all(|e| e.executions().is_empty()));
}
