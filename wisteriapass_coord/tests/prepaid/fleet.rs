//! A fleet of relays that serve one account, without a network: requests, reports to witnesses,
//! combined writes, loans, kills and a store that may be unreachable.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_coord::prepaid::{
    Opening, ShareConfig, ShareHolder, ShareRecord, ShareShortfall, WitnessId, WitnessMemory,
    WitnessReport,
};

use crate::support::{ACCOUNT, SHARE_CONFIG, at, holder_with};

/// Sizes as routers have them.
pub const ROUTER_CONFIG: ShareConfig = ShareConfig {
    open_demand_ms: 300,
    sealed_demand_ms: 11_600,
    opening: Opening {
        start_ms: 2_200,
        duration_ms: 8_000,
        initial_permille: 224,
    },
    out_of_contact_ms: 1_100,
    headroom_ms: 500,
    partition_headroom_ms: 2_000,
    max_unproved_fraction: 0.01,
    largest_request_factor: 0.0,
    witness_timeout_ms: 5_000,
    max_unspent_fraction: 0.8,
    ..SHARE_CONFIG
};

/// Number of relays.
pub const RELAYS: usize = 6;

/// Simulated interval, in milliseconds.
const TICK_MS: u64 = 10;

/// Shortest and longest interval between two combined writes, in milliseconds.
const WRITE_MS: (u64, u64) = (180, 500);

/// Interval between two reports of a relay without a reason, in milliseconds.
const REPORT_MS: u64 = 200;

/// Longest time that a request waits, and the part of it in which only receipts are awaited, in
/// milliseconds.
const WAIT_MS: u64 = 250;
const RECEIPT_WAIT_MS: u64 = 60;

/// Time that a request runs, in milliseconds.
const RUN_MS: u64 = 300;

/// A request, by its tokens.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub max_cost: u64,
    pub used: u64,
}

struct Waiting {
    request: Request,
    since_ms: u64,
    awaits_receipts: bool,
    is_noted: bool,
}

struct Relay {
    holder: ShareHolder,
    memory: WitnessMemory,
    process: u64,
    reported_ms: u64,
    waiting: Vec<Waiting>,
    running: Vec<(u64, Request)>,
    is_alive: bool,
}

/// The relays, the store and what was served.
pub struct Fleet {
    pub now: u64,
    pub total: u64,
    pub record: ShareRecord,
    pub is_store_up: bool,
    pub served: u64,
    pub refused: u64,
    /// Tokens of requests that ended.
    pub used: u64,
    pub writes: u64,
    relays: Vec<Relay>,
    written_ms: u64,
    processes: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    pub fn new(total: u64, seed: u64) -> Self {
        let mut fleet = Self {
            now: 0,
            total,
            record: ShareRecord::default(),
            is_store_up: true,
            served: 0,
            refused: 0,
            used: 0,
            writes: 0,
            relays: Vec::new(),
            written_ms: 0,
            processes: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        fleet.relays = (0..RELAYS).map(|n| fleet.new_relay(n)).collect();
        fleet
    }

    /// Returns a random number below `end`.
    pub fn random(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end)
    }

    fn new_relay(&mut self, n: usize) -> Relay {
        self.processes += 1;
        let (process, started) = (self.processes, at(self.now));
        let holder = holder_with(
            ROUTER_CONFIG,
            &format!("r{n}"),
            process,
            self.total,
            started,
        );
        Relay {
            holder,
            memory: WitnessMemory::new(process),
            process,
            reported_ms: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            is_alive: true,
        }
    }

    /// Lets a request arrive at a relay.
    pub fn arrive(&mut self, n: usize, request: Request) {
        let waiting = Waiting {
            request,
            since_ms: self.now,
            awaits_receipts: false,
            is_noted: false,
        };
        self.relays[n].waiting.push(waiting);
    }

    /// Kills a relay; returns what its requests in progress had reserved.
    pub fn kill(&mut self, n: usize) -> u64 {
        let relay = &mut self.relays[n];
        relay.is_alive = false;
        relay.waiting.clear();
        let reserved = relay.running.iter().map(|(_, r)| r.max_cost).sum();
        relay.running.clear();
        reserved
    }

    /// Starts a relay that was killed.
    pub fn restart(&mut self, n: usize) {
        self.relays[n] = self.new_relay(n);
        self.inquire(n);
    }

    /// Returns the sum of what is lost, and of what was used, by the record in force.
    pub fn recorded(&self) -> (u64, u64) {
        (self.record.lost(ACCOUNT), self.record.used(ACCOUNT))
    }

    /// Returns the largest part of the total that one relay may spend now and has not spent.
    pub fn largest_unproved(&self) -> u64 {
        let open = |r: &Relay| r.holder.outstanding().open_unspent;
        let alive = self.relays.iter().filter(|r| r.is_alive);
        alive.map(open).max().unwrap_or_default()
    }

    /// Lets some milliseconds pass without further requests.
    pub fn pass(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.tick();
        }
    }

    /// Lets a tick pass.
    pub fn tick(&mut self) {
        self.now += TICK_MS;
        for n in 0..RELAYS {
            if self.relays[n].is_alive {
                self.relays[n].holder.unseal(at(self.now));
                self.settle(n);
                self.serve(n);
                self.report(n);
            }
        }
        let age_ms = self.now - self.written_ms;
        let now = self.now;
        let is_due = |r: &Relay| r.holder.is_due() || r.holder.holds_too_much(now);
        let is_due = self.relays.iter().any(|r| r.is_alive && is_due(r));
        if self.is_store_up && (is_due && age_ms >= WRITE_MS.0 || age_ms >= WRITE_MS.1) {
            self.write();
        }
    }

    fn settle(&mut self, n: usize) {
        let relay = &mut self.relays[n];
        let now = self.now;
        let ended = relay.running.extract_if(.., |(ends_ms, _)| *ends_ms <= now);
        for (_, request) in ended {
            relay.holder.settle(ACCOUNT, request.max_cost, request.used);
            self.used += request.used;
        }
    }

    fn serve(&mut self, n: usize) {
        let waiting = std::mem::take(&mut self.relays[n].waiting);
        for mut w in waiting {
            let max_cost = w.request.max_cost;
            let holder = &mut self.relays[n].holder;
            let checked = holder.check(ACCOUNT, max_cost);
            let reserved = holder.reserve(self.now, ACCOUNT, max_cost);
            assert_eq!(checked, reserved, "a check tells another outcome");
            if reserved.is_ok() {
                if w.awaits_receipts {
                    holder.end_receipt_wait(ACCOUNT, max_cost);
                }
                self.served += 1;
                self.relays[n].running.push((self.now + RUN_MS, w.request));
                continue;
            }
            let waited_ms = self.now - w.since_ms;
            let awaits_receipts = reserved == Err(ShareShortfall::AwaitsReceipts);
            if awaits_receipts && !w.awaits_receipts {
                holder.begin_receipt_wait(ACCOUNT, max_cost);
                w.awaits_receipts = true;
            }
            if !awaits_receipts || waited_ms >= RECEIPT_WAIT_MS {
                if self.is_store_up && !w.is_noted {
                    holder.note_unserved(ACCOUNT, max_cost);
                    w.is_noted = true;
                }
                self.borrow(n, max_cost);
            }
            if waited_ms < WAIT_MS && reserved != Err(ShareShortfall::Exhausted) {
                self.relays[n].waiting.push(w);
                continue;
            }
            if w.awaits_receipts {
                self.relays[n].holder.end_receipt_wait(ACCOUNT, max_cost);
            }
            self.refused += 1;
        }
    }

    /// Borrows from one relay, or from several if none has all.
    fn borrow(&mut self, n: usize, max_cost: u64) {
        for divisor in [1, 8] {
            for lender in (0..RELAYS).filter(|l| *l != n) {
                let holder = &self.relays[n].holder;
                let (missing, ask) = holder.loan_amounts(self.now, ACCOUNT, max_cost);
                if missing == 0 || !self.relays[lender].is_alive {
                    continue;
                }
                let min_tokens = missing.div_ceil(divisor);
                let holder = &mut self.relays[lender].holder;
                if holder.is_loan_awaiting_witnesses(ACCOUNT, min_tokens) {
                    holder.begin_receipt_wait(ACCOUNT, min_tokens);
                    self.report_now(lender);
                    self.relays[lender]
                        .holder
                        .end_receipt_wait(ACCOUNT, min_tokens);
                }
                let lent = self.relays[lender].holder.lend(ACCOUNT, ask, min_tokens);
                self.relays[n].holder.borrow(ACCOUNT, lent);
            }
        }
    }

    fn report(&mut self, n: usize) {
        let (now, stamp) = (self.now, at(self.now));
        let relay = &self.relays[n];
        let is_needed = relay.waiting.iter().any(|w| w.awaits_receipts)
            || relay.holder.is_report_due(now, stamp, ACCOUNT);
        let age_ms = now - relay.reported_ms;
        if is_needed && age_ms >= 2 * TICK_MS || age_ms >= REPORT_MS {
            self.report_now(n);
        }
    }

    /// Reports to the next two relays that are alive.
    fn report_now(&mut self, n: usize) {
        let (now, stamp) = (self.now, at(self.now));
        self.relays[n].reported_ms = now;
        let known = self.relays[n].holder.witnesses().reachable();
        for (id, last) in known.iter().copied() {
            let report = WitnessReport {
                last_receipt: Some(last),
                ..self.relays[n].holder.compose_report(now, stamp)
            };
            let holder = &mut self.relays[n].holder;
            holder.witnesses().note_sent(id, stamp.since_boot);
            let limits = report.spend_limits.clone();
            let Some(witness) = self.find_witness(id) else {
                continue;
            };
            let receipt = witness.memory.record_report(now, report);
            let holder = &mut self.relays[n].holder;
            holder
                .witnesses()
                .note_receipt(id, receipt, &limits, stamp.since_boot);
        }
        for (id, probe) in self.relays[n].holder.probes() {
            let at_address = (0..RELAYS).find(|k| self.witness_id(*k).at == id.at);
            let asked = at_address.filter(|k| self.relays[*k].is_alive);
            if let Some(k) = asked {
                let answer = self.relays[k].memory.answer_inquiry(now, &probe);
                self.relays[n].holder.note_probe(id, answer.as_ref());
            }
        }
        let others = (1..RELAYS).map(|k| (n + k) % RELAYS);
        let mut others = others.filter(|k| self.relays[*k].is_alive);
        let is_known = |k: &usize| known.iter().any(|(id, _)| *id == self.witness_id(*k));
        let next = others.find(|k| known.len() < 2 && !is_known(k));
        if let Some(k) = next {
            let (id, report) = (
                self.witness_id(k),
                self.relays[n].holder.compose_report(now, stamp),
            );
            let receipt = self.relays[k].memory.record_report(now, report);
            self.relays[n].holder.add_witness(id, receipt, stamp);
        }
    }

    fn witness_id(&self, n: usize) -> WitnessId {
        WitnessId {
            at: ([127, 0, 0, 1], 7_000 + n as u16).into(),
            process: self.relays[n].process,
        }
    }

    fn find_witness(&mut self, id: WitnessId) -> Option<&mut Relay> {
        let n = (0..RELAYS).find(|n| self.witness_id(*n) == id)?;
        Some(&mut self.relays[n]).filter(|r| r.is_alive)
    }

    fn inquire(&mut self, n: usize) {
        for (id, inquiry) in self.relays[n].holder.inquiries(&self.record) {
            let now = self.now;
            let witness = self.find_witness(id);
            let answer = witness.and_then(|w| w.memory.answer_inquiry(now, &inquiry));
            if let Some(answer) = answer {
                let holder = &mut self.relays[n].holder;
                holder.accept_answer(inquiry.process, answer, at(now));
            }
        }
    }

    /// Writes the shares of all relays that are alive.
    fn write(&mut self) {
        self.writes += 1;
        self.written_ms = self.now;
        let stamp = at(self.now);
        for relay in self.relays.iter_mut().filter(|r| r.is_alive) {
            self.record = relay.holder.compose(self.now, stamp, &self.record);
            relay.holder.note_sent(stamp);
        }
        for relay in self.relays.iter_mut().filter(|r| r.is_alive) {
            assert!(relay.holder.adopt(&self.record));
        }
        assert!(self.record.granted(ACCOUNT) <= self.total);
    }
}
