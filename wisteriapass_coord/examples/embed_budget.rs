//! Embeds escrowed budgets in a program that implements [`Store`] itself.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use wisteriapass_coord::Millis;
use wisteriapass_coord::budget::{
    BudgetId, GrantRequest, Journal, Ledger, Origin, Shards, Tokens, TopupId, Wallet,
};
use wisteriapass_coord::store::{Entry, LeaseId, Result, Revision, Store, Swap};

/// Minimal store: budgets only need `get` and `swap`.
#[derive(Default)]
struct CustomStore {
    entries: Mutex<BTreeMap<String, Entry>>,
}

impl Store for CustomStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        Ok(self.entries.lock().unwrap().get(key).cloned())
    }

    fn swap(&self, key: &str, at: Revision, value: &str, _: Option<LeaseId>) -> Result<Swap> {
        let mut entries = self.entries.lock().unwrap();
        let current = entries.get(key).cloned();
        if current.as_ref().map_or(Revision::ABSENT, |e| e.revision) != at {
            return Ok(Swap::Conflict(current));
        }
        let revision = Revision(at.0 + 1);
        let (value, name) = (value.to_owned(), key.to_owned());
        let entry = Entry {
            key: name,
            value,
            revision,
        };
        entries.insert(key.into(), entry);
        Ok(Swap::Done(revision))
    }

    fn list(&self, _: &str) -> Result<Vec<Entry>> {
        unimplemented!("budgets only need get and swap")
    }
    fn delete(&self, _: &str, _: Revision) -> Result<Swap> {
        unimplemented!("budgets only need get and swap")
    }
    fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<(Revision, Vec<Entry>)> {
        unimplemented!("budgets only need get and swap")
    }
    fn grant_lease(&self, _: Duration) -> Result<LeaseId> {
        unimplemented!("budgets only need get and swap")
    }
    fn renew_lease(&self, _: LeaseId) -> Result<bool> {
        unimplemented!("budgets only need get and swap")
    }
}

fn main() -> std::result::Result<(), Box<dyn std::error::Error>> {
    let (store, budget) = (CustomStore::default(), BudgetId::new("acme", "main"));
    let journal = Journal::new(Origin(1), Shards::default());
    let ledger = Ledger::new(&store, &journal);
    ledger.topup(&budget, &TopupId("invoice-1".into()), Tokens(50_000))?;

    let mut wallet = Wallet::new(Origin(1));
    let request = GrantRequest {
        budget: budget.clone(),
        need: Tokens(700),
        held: wallet.held(&budget),
        usage_per_second: Tokens::ZERO,
    };
    for lot in ledger.request_grants(vec![request]).lots {
        wallet.credit(lot);
    }
    let reservation = wallet.reserve(&budget, Tokens(700), Millis(0))?;
    println!("{:?}", wallet.settle(reservation, Tokens(420)));
    ledger.send_reports(wallet.drain_reports());
    println!("{:?}", ledger.totals()?);
    Ok(())
}
