//! Grants of relays to followers: what followers spend is covered by their relays' shares, over any
//! history of lost, doubled and late calls, kills and freezes.

use std::net::SocketAddr;

use quickcheck_macros::quickcheck;
use wisteriapass_coord::prepaid::{
    Credit, CreditLineKey, GrantAnswer, GrantCall, GrantLedger, HolderId, Settlement, ShareHolder,
    ShareRecord,
};

use crate::support::{ACCOUNT, SIZES, at, exchange, holder, holder_at};

/// A relay process on its VM.
struct Relay {
    at: SocketAddr,
    holder: ShareHolder,
    book: GrantLedger,
}

impl Relay {
    fn new(place: usize, holder: ShareHolder, process: u64) -> Self {
        Self {
            at: ([127, 0, 0, 1], 7_000 + place as u16).into(),
            holder,
            book: GrantLedger::new(process),
        }
    }

    fn settle(&mut self, settled: Vec<Settlement>) {
        for s in settled {
            self.holder.settle(&s.account, s.reserved, s.used);
        }
    }

    /// Takes a call in and grants what its share covers.
    fn serve(&mut self, now: u64, call: &GrantCall) -> GrantAnswer {
        let settled = self.book.apply_call(now, call);
        self.settle(settled);
        for said in &call.accounts {
            let missing = self.book.begin_grant(call, said);
            if missing == 0 {
                continue;
            }
            let is_reserved = self.holder.reserve(now, &said.name, missing).is_ok();
            self.book
                .end_grant(&call.line, &said.name, missing, is_reserved);
        }
        self.book.answer(call)
    }
}

fn follower(name: &str) -> Credit {
    Credit::new(HolderId(name.into()))
}

/// Asks for a request's most; returns whether it is reserved.
fn ask(credit: &mut Credit, relay: &mut Relay, now: u64, most: u64) -> Option<CreditLineKey> {
    if let Some(key) = credit.reserve(ACCOUNT, most) {
        return Some(key);
    }
    let key = credit.open_line(relay.at, now);
    credit.begin_wait(key, ACCOUNT, most);
    let call = credit.compose_request(key, ACCOUNT)?;
    let answer = relay.serve(now, &call);
    credit.apply_answer(key, &call, &answer);
    credit.end_wait(key, ACCOUNT, most);
    credit.reserve(ACCOUNT, most)
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

fn relay_in_touch(record: &mut ShareRecord) -> Relay {
    let mut relay = Relay::new(0, holder("r0", 1, 10_000), 1);
    relay.holder.expect_demand(0, ACCOUNT, 1_000);
    exchange(&mut relay.holder, 0, record);
    relay
}

#[test]
fn a_follower_spends_what_its_relay_reserved_and_gives_the_rest_back() {
    let mut record = ShareRecord::default();
    let mut relay = relay_in_touch(&mut record);
    let mut credit = follower("f");
    let key = ask(&mut credit, &mut relay, 0, 300).unwrap();
    assert_eq!(relay.holder.account_status(ACCOUNT).spent, 300);
    credit.settle(key, ACCOUNT, 300, 120);
    report(&mut credit, &mut relay, 10);
    assert_eq!(relay.holder.account_status(ACCOUNT).spent, 120);
    assert_eq!(relay.holder.used(ACCOUNT), 120);
    assert_eq!(relay.book.outstanding(), 0);
}

#[test]
fn a_follower_is_refused_what_its_relay_does_not_have() {
    let mut record = ShareRecord::default();
    let mut relay = relay_in_touch(&mut record);
    let mut credit = follower("f");
    assert!(ask(&mut credit, &mut relay, 0, 20_000).is_none());
    assert_eq!(relay.book.outstanding(), 0);
    assert_eq!(relay.holder.account_status(ACCOUNT).spent, 0);
}

#[test]
fn a_call_that_comes_twice_or_late_grants_once() {
    let mut record = ShareRecord::default();
    let mut relay = relay_in_touch(&mut record);
    let mut credit = follower("f");
    let key = credit.open_line(relay.at, 1);
    credit.begin_wait(key, ACCOUNT, 100);
    let first = credit.compose_request(key, ACCOUNT).unwrap();
    relay.serve(0, &first);
    relay.serve(1, &first);
    assert_eq!(relay.book.outstanding(), 100);
    let answer = relay.serve(2, &first);
    credit.apply_answer(key, &first, &answer);
    credit.end_wait(key, ACCOUNT, 100);
    let key = credit.reserve(ACCOUNT, 100).unwrap();
    credit.settle(key, ACCOUNT, 100, 100);
    report(&mut credit, &mut relay, 3);
    relay.serve(4, &first);
    assert_eq!(relay.book.outstanding(), 0);
    assert_eq!(relay.holder.used(ACCOUNT), 100);
}

#[test]
fn a_grant_whose_answer_was_lost_comes_back() {
    let mut record = ShareRecord::default();
    let mut relay = relay_in_touch(&mut record);
    let mut credit = follower("f");
    let key = ask(&mut credit, &mut relay, 0, 10).unwrap();
    credit.begin_wait(key, ACCOUNT, 500);
    let lost = credit.compose_request(key, ACCOUNT).unwrap();
    relay.serve(1, &lost);
    credit.end_wait(key, ACCOUNT, 500);
    assert_eq!(relay.book.outstanding(), 510);
    for now in 2..5 {
        report(&mut credit, &mut relay, now);
    }
    assert_eq!(relay.book.outstanding(), 10);
}

#[test]
fn the_first_grant_of_a_line_comes_back_though_its_answer_was_lost() {
    let mut record = ShareRecord::default();
    let mut relay = relay_in_touch(&mut record);
    let mut credit = follower("f");
    let key = credit.open_line(relay.at, 1);
    credit.begin_wait(key, ACCOUNT, 100);
    let lost = credit.compose_request(key, ACCOUNT).unwrap();
    relay.serve(0, &lost);
    credit.end_wait(key, ACCOUNT, 100);
    for now in 1..4 {
        report(&mut credit, &mut relay, now);
    }
    assert_eq!(relay.book.outstanding(), 0);
    assert!(credit.active_lines().is_empty());
}

#[test]
fn what_a_dead_follower_held_counts_as_spent() {
    let mut record = ShareRecord::default();
    let mut relay = relay_in_touch(&mut record);
    let mut credit = follower("f");
    ask(&mut credit, &mut relay, 0, 300).unwrap();
    assert_eq!(relay.book.live_followers(100), 1);
    assert_eq!(relay.book.live_followers(60_000), 0);
    let closed = relay.book.close_silent_lines(60_000);
    relay.settle(closed);
    assert_eq!(relay.book.outstanding(), 0);
    assert_eq!(relay.holder.used(ACCOUNT), 300);
    // It was suspended: what it holds it may spend, and it has to open another line for more.
    assert!(ask(&mut credit, &mut relay, 60_001, 100).is_none());
    assert!(ask(&mut credit, &mut relay, 60_002, 100).is_some());
}

#[test]
fn a_relay_that_started_anew_grants_on_another_line() {
    let mut record = ShareRecord::default();
    let mut relay = relay_in_touch(&mut record);
    let mut credit = follower("f");
    let key = ask(&mut credit, &mut relay, 0, 300).unwrap();
    let held = record.share(ACCOUNT, relay.holder.id());
    let mut relay = Relay::new(0, holder_at("r0", 2, 10_000, at(500)), 2);
    exchange(&mut relay.holder, 500, &mut record);
    let after = record.share(ACCOUNT, relay.holder.id());
    assert!(after.lost >= 300, "{after:?} after {held:?}");
    credit.settle(key, ACCOUNT, 300, 100);
    // What the dead relay granted covers it, and no more.
    assert!(ask(&mut credit, &mut relay, 501, 200).is_some());
    assert!(ask(&mut credit, &mut relay, 502, 50).is_none());
    assert!(ask(&mut credit, &mut relay, 503, 50).is_some());
    report(&mut credit, &mut relay, 504);
    assert_eq!(relay.book.outstanding(), 50);
}

/// Calls on their way, and the line that each is about.
type OnTheWay = Vec<(usize, CreditLineKey, GrantCall)>;

/// One history: three followers, two relays, one record.
struct World {
    total: u64,
    now: u64,
    processes: u64,
    record: ShareRecord,
    relays: Vec<Relay>,
    followers: Vec<Credit>,
    /// Reservations of requests under way: follower, line, relay and tokens.
    running: Vec<(usize, CreditLineKey, usize, u64)>,
    late: OnTheWay,
    /// Spent of each relay's share.
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

    fn play(&mut self, who: u8, what: u8, most: u16) {
        let (f, r) = (usize::from(who) % 3, usize::from(who / 3) % 2);
        let most = u64::from(most) % 400 + 1;
        match what % 16 {
            0..=3 => self.begin(f, r, most),
            4..=6 => self.end(most),
            7 => self.report(f),
            8 => self.send_late(f, r, most),
            9 => self.arrive_late(most),
            10 => self.exchange(r, true),
            11 => self.exchange(r, false),
            12 => self.restart_relay(r),
            13 => self.restart_follower(f),
            14 => self.spend_directly(r, most),
            _ => self.freeze(r, most),
        }
    }

    /// Begins a request that costs `most`, with a call for a grant if needed.
    fn begin(&mut self, f: usize, r: usize, most: u64) {
        let reserved = ask(&mut self.followers[f], &mut self.relays[r], self.now, most);
        if let Some(key) = reserved {
            let place = self.place_of(f, key);
            self.running.push((f, key, place, most));
        }
    }

    /// Returns the relay's VM of a line.
    fn place_of(&self, f: usize, key: CreditLineKey) -> usize {
        let at = self.followers[f].relay_address(key).unwrap();
        self.relays.iter().position(|r| r.at == at).unwrap()
    }

    /// Ends a request that has cost some of what it reserved.
    fn end(&mut self, cost: u64) {
        if self.running.is_empty() {
            return;
        }
        let (f, key, place, most) = self.running.remove(cost as usize % self.running.len());
        let used = cost.min(most);
        self.followers[f].settle(key, ACCOUNT, most, used);
        self.spent[place] += used;
    }

    fn report(&mut self, f: usize) {
        for relay in &mut self.relays {
            report(&mut self.followers[f], relay, self.now);
        }
    }

    /// Sends a call that arrives later, perhaps twice, and whose answer is not waited for.
    fn send_late(&mut self, f: usize, r: usize, most: u64) {
        let credit = &mut self.followers[f];
        let key = credit.open_line(self.relays[r].at, self.now);
        credit.begin_wait(key, ACCOUNT, most);
        if let Some(call) = credit.compose_request(key, ACCOUNT) {
            self.late.push((r, key, call));
        }
        credit.end_wait(key, ACCOUNT, most);
    }

    fn arrive_late(&mut self, draw: u64) {
        if self.late.is_empty() {
            return;
        }
        let n = draw as usize % self.late.len();
        let (r, _, call) = self.late[n].clone();
        if draw.is_multiple_of(3) {
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
        let holder = holder_at(&name, self.processes, self.total, at(self.now));
        self.relays[r] = Relay::new(r, holder, self.processes);
        self.exchange(r, true);
    }

    /// Kills a follower; what it had reserved is spent in full.
    fn restart_follower(&mut self, f: usize) {
        let mut left = Vec::new();
        for (of, key, place, most) in self.running.drain(..) {
            if of == f {
                self.spent[place] += most;
            } else {
                left.push((of, key, place, most));
            }
        }
        self.running = left;
        self.followers[f] = follower(&format!("f{f}"));
    }

    fn spend_directly(&mut self, r: usize, most: u64) {
        let holder = &mut self.relays[r].holder;
        holder.unseal(at(self.now));
        if holder.reserve(self.now, ACCOUNT, most).is_ok() {
            holder.settle(ACCOUNT, most, most);
            self.spent[r] += most;
        }
    }

    /// Lets time pass without a look at the seal, and closes lines that fell silent.
    fn freeze(&mut self, r: usize, ms: u64) {
        self.now += ms * 50;
        let closed = self.relays[r].book.close_silent_lines(self.now);
        self.relays[r].settle(closed);
    }

    /// Returns whether all that was or may be spent was granted by the record in force.
    fn holds(&self) -> bool {
        let mut bound = self.spent.clone();
        for (_, _, place, most) in &self.running {
            bound[*place] += most;
        }
        let granted = |r: &Relay| self.record.share(ACCOUNT, r.holder.id()).granted;
        let mut covered = self.relays.iter().zip(&bound);
        covered.all(|(r, spent)| *spent <= granted(r)) && self.record.granted(ACCOUNT) <= self.total
    }
}

#[quickcheck]
fn totals_hold_over_any_history_of_grants(history: Vec<(u8, u8, u16, u16)>) -> bool {
    let mut world = World::new();
    history.into_iter().all(|(who, what, most, pause)| {
        world.now += u64::from(pause) % 700;
        world.play(who, what, most);
        world.holds()
    })
}

#[test]
fn a_seal_covers_no_grant() {
    let mut record = ShareRecord::default();
    let mut relay = relay_in_touch(&mut record);
    let share = record.share(ACCOUNT, relay.holder.id());
    assert!(share.sealed > 0);
    let mut credit = follower("f");
    assert!(ask(&mut credit, &mut relay, 1, share.granted).is_none());
    relay.holder.unseal(at(SIZES.seal_ms));
    assert!(ask(&mut credit, &mut relay, 2, share.granted).is_some());
}
