//! Grants of relays to followers: what followers spend is covered by the shares of their relays, in
//! any history of lost, duplicated and late calls, kills and freezes.

use std::net::SocketAddr;

use quickcheck_macros::quickcheck;
use wisteriapass_coord::prepaid::{
    Credit, CreditLineKey, GrantAnswer, GrantCall, GrantLedger, HolderId, Settlement, ShareHolder,
    ShareRecord,
};

use crate::support::{ACCOUNT, FULLY_OPEN_MS, at, exchange, holder, holder_at, varied_holder};

/// A relay process on its VM.
struct Relay {
    at: SocketAddr,
    holder: ShareHolder,
    ledger: GrantLedger,
}

impl Relay {
    fn new(index: usize, holder: ShareHolder, process: u64) -> Self {
        Self {
            at: ([127, 0, 0, 1], 7_000 + index as u16).into(),
            holder,
            ledger: GrantLedger::new(process),
        }
    }

    fn settle(&mut self, settled: Vec<Settlement>) {
        for s in settled {
            self.holder.settle(&s.account, s.reserved, s.used);
        }
    }

    /// Applies a call and grants what the share covers.
    fn serve(&mut self, now: u64, call: &GrantCall) -> GrantAnswer {
        let settled = self.ledger.apply_call(now, call);
        self.settle(settled);
        for usage in &call.accounts {
            let missing = self.ledger.begin_grant(call, usage);
            if missing == 0 {
                continue;
            }
            let is_reserved = self.holder.reserve(now, &usage.name, missing).is_ok();
            self.ledger
                .end_grant(&call.line, &usage.name, missing, is_reserved);
        }
        self.ledger.answer(call)
    }
}

fn follower(name: &str) -> Credit {
    Credit::new(HolderId(name.into()))
}

/// Reserves a request's maximum cost, after a call for a grant if needed; returns the line.
fn reserve_or_request(
    credit: &mut Credit,
    relay: &mut Relay,
    now: u64,
    max_cost: u64,
) -> Option<CreditLineKey> {
    let is_covered = credit.covers(ACCOUNT, max_cost);
    if let Some(key) = credit.reserve(ACCOUNT, max_cost) {
        assert!(is_covered, "a check tells another outcome");
        return Some(key);
    }
    assert!(!is_covered, "a check tells another outcome");
    let key = credit.open_line(relay.at, now);
    credit.begin_wait(key, ACCOUNT, max_cost);
    let call = credit.compose_request(key, ACCOUNT)?;
    let answer = relay.serve(now, &call);
    credit.apply_answer(key, &call, &answer);
    credit.end_wait(key, ACCOUNT, max_cost);
    credit.reserve(ACCOUNT, max_cost)
}

/// Reports on all lines to a relay.
fn report(credit: &mut Credit, relay: &mut Relay, now: u64) {
    for (key, at) in credit.active_lines() {
        if at != relay.at {
            continue;
        }
        if let Some(call) = credit.compose_report(key, |_| 0) {
            let answer = relay.serve(now, &call);
            credit.apply_answer(key, &call, &answer);
        }
    }
    credit.remove_closed_lines();
}

fn connected_relay(record: &mut ShareRecord) -> Relay {
    let mut relay = Relay::new(0, holder("r0", 1, 10_000), 1);
    relay.holder.expect_demand(0, ACCOUNT, 1_000);
    exchange(&mut relay.holder, 0, record);
    relay
}

#[test]
fn a_follower_spends_what_its_relay_reserved_and_returns_the_rest() {
    let mut record = ShareRecord::default();
    let mut relay = connected_relay(&mut record);
    let mut credit = follower("f");
    let key = reserve_or_request(&mut credit, &mut relay, 0, 300).unwrap();
    assert_eq!(relay.holder.account_status(ACCOUNT).spent, 300);
    credit.settle(key, ACCOUNT, 300, 120);
    report(&mut credit, &mut relay, 10);
    assert_eq!(relay.holder.account_status(ACCOUNT).spent, 120);
    assert_eq!(relay.holder.used(ACCOUNT), 120);
    assert_eq!(relay.ledger.outstanding(), 0);
}

#[test]
fn a_follower_is_refused_what_its_relay_does_not_have() {
    let mut record = ShareRecord::default();
    let mut relay = connected_relay(&mut record);
    let mut credit = follower("f");
    assert!(reserve_or_request(&mut credit, &mut relay, 0, 20_000).is_none());
    assert_eq!(relay.ledger.outstanding(), 0);
    assert_eq!(relay.holder.account_status(ACCOUNT).spent, 0);
}

#[test]
fn a_call_that_arrives_twice_or_late_grants_once() {
    let mut record = ShareRecord::default();
    let mut relay = connected_relay(&mut record);
    let mut credit = follower("f");
    let key = credit.open_line(relay.at, 1);
    credit.begin_wait(key, ACCOUNT, 100);
    let first = credit.compose_request(key, ACCOUNT).unwrap();
    relay.serve(0, &first);
    relay.serve(1, &first);
    assert_eq!(relay.ledger.outstanding(), 100);
    let answer = relay.serve(2, &first);
    credit.apply_answer(key, &first, &answer);
    credit.end_wait(key, ACCOUNT, 100);
    let key = credit.reserve(ACCOUNT, 100).unwrap();
    credit.settle(key, ACCOUNT, 100, 100);
    report(&mut credit, &mut relay, 3);
    relay.serve(4, &first);
    assert_eq!(relay.ledger.outstanding(), 0);
    assert_eq!(relay.holder.used(ACCOUNT), 100);
}

#[test]
fn a_grant_whose_answer_was_lost_is_returned() {
    let mut record = ShareRecord::default();
    let mut relay = connected_relay(&mut record);
    let mut credit = follower("f");
    let key = reserve_or_request(&mut credit, &mut relay, 0, 10).unwrap();
    credit.begin_wait(key, ACCOUNT, 500);
    let lost = credit.compose_request(key, ACCOUNT).unwrap();
    relay.serve(1, &lost);
    credit.end_wait(key, ACCOUNT, 500);
    assert_eq!(relay.ledger.outstanding(), 510);
    for now in 2..5 {
        report(&mut credit, &mut relay, now);
    }
    assert_eq!(relay.ledger.outstanding(), 10);
}

#[test]
fn the_first_grant_of_a_line_is_returned_after_its_answer_was_lost() {
    let mut record = ShareRecord::default();
    let mut relay = connected_relay(&mut record);
    let mut credit = follower("f");
    let key = credit.open_line(relay.at, 1);
    credit.begin_wait(key, ACCOUNT, 100);
    let lost = credit.compose_request(key, ACCOUNT).unwrap();
    relay.serve(0, &lost);
    credit.end_wait(key, ACCOUNT, 100);
    for now in 1..4 {
        report(&mut credit, &mut relay, now);
    }
    assert_eq!(relay.ledger.outstanding(), 0);
    assert!(credit.active_lines().is_empty());
}

#[test]
fn what_a_dead_follower_held_counts_as_spent() {
    let mut record = ShareRecord::default();
    let mut relay = connected_relay(&mut record);
    let mut credit = follower("f");
    reserve_or_request(&mut credit, &mut relay, 0, 300).unwrap();
    assert_eq!(relay.ledger.live_followers(100), 1);
    assert_eq!(relay.ledger.live_followers(60_000), 0);
    let closed = relay.ledger.close_silent_lines(60_000);
    relay.settle(closed);
    assert_eq!(relay.ledger.outstanding(), 0);
    assert_eq!(relay.holder.used(ACCOUNT), 300);
    // The follower was suspended. It may spend what it holds, but needs another line for more.
    assert!(reserve_or_request(&mut credit, &mut relay, 60_001, 100).is_none());
    assert!(reserve_or_request(&mut credit, &mut relay, 60_002, 100).is_some());
}

#[test]
fn a_restarted_relay_grants_on_another_line() {
    let mut record = ShareRecord::default();
    let mut relay = connected_relay(&mut record);
    let mut credit = follower("f");
    let key = reserve_or_request(&mut credit, &mut relay, 0, 300).unwrap();
    let held = record.share(ACCOUNT, relay.holder.id());
    let mut relay = Relay::new(0, holder_at("r0", 2, 10_000, at(500)), 2);
    exchange(&mut relay.holder, 500, &mut record);
    let after = record.share(ACCOUNT, relay.holder.id());
    assert!(after.lost >= 300, "{after:?} after {held:?}");
    credit.settle(key, ACCOUNT, 300, 100);
    // The dead relay's grants cover this request, and no more.
    assert!(reserve_or_request(&mut credit, &mut relay, 501, 200).is_some());
    assert!(reserve_or_request(&mut credit, &mut relay, 502, 50).is_none());
    assert!(reserve_or_request(&mut credit, &mut relay, 503, 50).is_some());
    report(&mut credit, &mut relay, 504);
    assert_eq!(relay.ledger.outstanding(), 50);
}

/// Calls in transit, with the line of each.
type InTransit = Vec<(usize, CreditLineKey, GrantCall)>;

/// One history: three followers, two relays, one record.
struct World {
    total: u64,
    now: u64,
    processes: u64,
    record: ShareRecord,
    relays: Vec<Relay>,
    followers: Vec<Credit>,
    /// Reservations of requests in progress: follower, line, relay and tokens.
    running: Vec<(usize, CreditLineKey, usize, u64)>,
    late: InTransit,
    /// Spent from each relay's share.
    spent: Vec<u64>,
}

impl World {
    fn new() -> Self {
        let total = 9_000;
        let relay = |i: usize| Relay::new(i, holder(&format!("r{i}"), i as u64, total), i as u64);
        Self {
            total,
            now: 0,
            processes: 2,
            record: ShareRecord::default(),
            relays: (0..2).map(relay).collect(),
            followers: (0..3).map(|i| follower(&format!("f{i}"))).collect(),
            running: Vec::new(),
            late: Vec::new(),
            spent: vec![0; 2],
        }
    }

    fn step(&mut self, who: u8, action: u8, max_cost: u16) {
        let (f, r) = (usize::from(who) % 3, usize::from(who / 3) % 2);
        let max_cost = u64::from(max_cost) % 400 + 1;
        match action % 16 {
            0..=3 => self.begin(f, r, max_cost),
            4..=6 => self.end(max_cost),
            7 => self.report(f),
            8 => self.send_late(f, r, max_cost),
            9 => self.arrive_late(max_cost),
            10 => self.exchange(r, true),
            11 => self.exchange(r, false),
            12 => self.restart_relay(r),
            13 => self.restart_follower(f),
            14 => self.spend_directly(r, max_cost),
            _ => self.freeze(r, max_cost),
        }
    }

    /// Begins a request that costs `max_cost`, with a call for a grant if needed.
    fn begin(&mut self, f: usize, r: usize, max_cost: u64) {
        let reserved = reserve_or_request(
            &mut self.followers[f],
            &mut self.relays[r],
            self.now,
            max_cost,
        );
        if let Some(key) = reserved {
            let index = self.relay_index(f, key);
            self.running.push((f, key, index, max_cost));
        }
    }

    /// Returns the index of a line's relay.
    fn relay_index(&self, f: usize, key: CreditLineKey) -> usize {
        let at = self.followers[f].relay_address(key).unwrap();
        self.relays.iter().position(|r| r.at == at).unwrap()
    }

    /// Ends a request that cost part of its reservation.
    fn end(&mut self, cost: u64) {
        if self.running.is_empty() {
            return;
        }
        let (f, key, index, max_cost) = self.running.remove(cost as usize % self.running.len());
        let used = cost.min(max_cost);
        self.followers[f].settle(key, ACCOUNT, max_cost, used);
        self.spent[index] += used;
    }

    fn report(&mut self, f: usize) {
        for relay in &mut self.relays {
            report(&mut self.followers[f], relay, self.now);
        }
    }

    /// Sends a call that arrives later, perhaps twice, and whose answer is not awaited.
    fn send_late(&mut self, f: usize, r: usize, max_cost: u64) {
        let credit = &mut self.followers[f];
        let key = credit.open_line(self.relays[r].at, self.now);
        credit.begin_wait(key, ACCOUNT, max_cost);
        if let Some(call) = credit.compose_request(key, ACCOUNT) {
            self.late.push((r, key, call));
        }
        credit.end_wait(key, ACCOUNT, max_cost);
    }

    fn arrive_late(&mut self, random: u64) {
        if self.late.is_empty() {
            return;
        }
        let n = random as usize % self.late.len();
        let (r, _, call) = self.late[n].clone();
        if random.is_multiple_of(3) {
            self.late.remove(n);
        }
        self.relays[r].serve(self.now, &call);
    }

    fn exchange(&mut self, r: usize, is_answered: bool) {
        let (now, stamp) = (self.now, at(self.now));
        let holder = &mut self.relays[r].holder;
        holder.unseal(stamp);
        self.record = holder.compose(now, stamp, &self.record);
        holder.note_sent(stamp);
        if is_answered {
            holder.adopt(&self.record);
        }
    }

    fn restart_relay(&mut self, r: usize) {
        self.processes += 1;
        let name = self.relays[r].holder.id().0.clone();
        let holder = varied_holder(&name, self.processes, self.total, at(self.now));
        self.relays[r] = Relay::new(r, holder, self.processes);
        self.exchange(r, true);
    }

    /// Kills a follower; its reservations count as spent in full.
    fn restart_follower(&mut self, f: usize) {
        let mut left = Vec::new();
        for (of, key, index, max_cost) in self.running.drain(..) {
            if of == f {
                self.spent[index] += max_cost;
            } else {
                left.push((of, key, index, max_cost));
            }
        }
        self.running = left;
        self.followers[f] = follower(&format!("f{f}"));
    }

    fn spend_directly(&mut self, r: usize, max_cost: u64) {
        let holder = &mut self.relays[r].holder;
        holder.unseal(at(self.now));
        if holder.reserve(self.now, ACCOUNT, max_cost).is_ok() {
            holder.settle(ACCOUNT, max_cost, max_cost);
            self.spent[r] += max_cost;
        }
    }

    /// Lets time pass without unsealing, and closes silent lines.
    fn freeze(&mut self, r: usize, ms: u64) {
        self.now += ms * 50;
        let closed = self.relays[r].ledger.close_silent_lines(self.now);
        self.relays[r].settle(closed);
    }

    /// Returns whether everything that was or may be spent was granted by the record in force.
    fn holds(&self) -> bool {
        let mut bound = self.spent.clone();
        for (_, _, index, max_cost) in &self.running {
            bound[*index] += max_cost;
        }
        let granted = |r: &Relay| self.record.share(ACCOUNT, r.holder.id()).granted;
        let mut covered = self.relays.iter().zip(&bound);
        covered.all(|(r, spent)| *spent <= granted(r)) && self.record.granted(ACCOUNT) <= self.total
    }
}

#[quickcheck]
fn totals_hold_in_any_history_of_grants(history: Vec<(u8, u8, u16, u16)>) -> bool {
    let mut world = World::new();
    history.into_iter().all(|(who, action, max_cost, pause)| {
        world.now += u64::from(pause) % 700;
        world.step(who, action, max_cost);
        world.holds()
    })
}

#[test]
fn sealed_tokens_cover_no_grant() {
    let mut record = ShareRecord::default();
    let mut relay = connected_relay(&mut record);
    let share = record.share(ACCOUNT, relay.holder.id());
    assert!(share.sealed > 0);
    let mut credit = follower("f");
    assert!(reserve_or_request(&mut credit, &mut relay, 1, share.granted).is_none());
    relay.holder.unseal(at(FULLY_OPEN_MS));
    assert!(reserve_or_request(&mut credit, &mut relay, 2, share.granted).is_some());
}
