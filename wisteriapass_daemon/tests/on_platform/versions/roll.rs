//! Versions are replaced while callers leave their streams, routers die and targets crash.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wisteriapass_bench::standin::users_platform::{Behaviour, SimulatedTarget};

use crate::support::parts::{Part, RECEIVED, stream};
use crate::support::{OpenStream, Piece, Request, Router, TestPlatform, pieces, wait_for};

/// Prepaid total that suffices although routers die with their shares.
const PREPAID: u64 = 1_000_000_000;

const ROUTERS: usize = 4;
const CALLERS: u64 = 8;

/// Streams of half a second.
const STREAM: Behaviour = Behaviour::SlowStream(5);

/// Number of streams that each target is prepared for.
const STREAMS: usize = 2_000;

/// Minimum number of actions of the operator and faults.
const STEPS: usize = 26;

/// Pause between two actions of the operator, or two faults.
const STEP: Duration = Duration::from_millis(300);

/// Number of times that a caller takes a stream up, and the pause before each.
const ATTEMPTS: usize = 20;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// Minimum number of streams that are taken up.
const ENOUGH: usize = 12;

/// What became of the streams of all callers.
#[derive(Debug, Default)]
struct Tally {
    taken_up: usize,
    gone_on: usize,
    parts: Vec<Part>,
}

/// What callers and operator share.
#[derive(Default)]
struct Shared {
    tally: Mutex<Tally>,
    is_over: AtomicBool,
}

impl Shared {
    fn has_enough(&self) -> bool {
        self.tally.lock().taken_up >= ENOUGH
    }
}

/// Ends the callers when it goes out of scope, also if the test fails.
struct EndOnDrop<'a>(&'a Shared);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.is_over.store(true, Ordering::Relaxed);
    }
}

/// A caller that leaves some of its streams, and takes up all that end early.
struct Caller<'a> {
    name: u64,
    rng: StdRng,
    ports: &'a [u16],
}

impl Caller<'_> {
    fn run(&mut self, shared: &Shared) {
        let mut n = 0;
        while !shared.is_over.load(Ordering::Relaxed) {
            n += 1;
            let id = format!("c{}-{n}", self.name);
            let pieces = self.receive(&stream(&id));
            if pieces.is_empty() {
                sleep(ATTEMPT_PAUSE);
                continue;
            }
            let mut part = Part { id, pieces };
            let is_taken_up = !part.is_whole();
            let has_gone_on = is_taken_up && self.take_up(&mut part);
            let mut tally = shared.tally.lock();
            tally.taken_up += usize::from(is_taken_up);
            tally.gone_on += usize::from(has_gone_on);
            tally.parts.push(part);
        }
    }

    /// Takes a stream up until it is whole; returns whether it went on.
    fn take_up(&mut self, part: &mut Part) -> bool {
        let begun = part.pieces.len();
        for n in 0..ATTEMPTS {
            sleep(ATTEMPT_PAUSE);
            let request = part.next_request(&format!("{}-{n}", part.id));
            part.pieces.extend(self.receive(&request));
            if part.is_whole() {
                break;
            }
        }
        part.pieces.len() > begun
    }

    /// Receives the answer of any router, and leaves some in the middle.
    fn receive(&mut self, request: &Request) -> Vec<Piece> {
        let port = self.ports[self.rng.random_range(0..self.ports.len())];
        let leaves = self.rng.random_bool(0.2);
        // The router may not run.
        let Ok(mut open) = OpenStream::try_begin(port, request) else {
            return Vec::new();
        };
        if leaves {
            open.receive_events(RECEIVED);
            return open.leave();
        }
        pieces(open.receive_rest().text().as_bytes())
    }
}

/// Targets that are replaced by those of the next version, or crash.
struct Engines<'a> {
    platform: &'a TestPlatform,
    /// Targets, with the keys of their entries.
    all: Vec<(SimulatedTarget, String)>,
    started: usize,
}

impl<'a> Engines<'a> {
    fn new(platform: &'a TestPlatform) -> Self {
        Self {
            platform,
            all: Vec::new(),
            started: 0,
        }
    }

    fn start(&mut self, version: &'static str) {
        self.started += 1;
        let engine = SimulatedTarget::start(&format!("n{}", self.started)).unwrap();
        engine.set_version(version);
        engine.push_behaviours(&[STREAM; STREAMS]);
        engine.set_crash_condition(|_| false, STEP);
        let key = engine.entry_key();
        self.put(&engine, &key, "ready");
        self.all.push((engine, key));
    }

    fn put(&self, engine: &SimulatedTarget, key: &str, state: &str) {
        let store = &self.platform.store;
        store.put(key, engine.entry("engines", state));
    }

    /// Makes the oldest target leave.
    fn retire(&mut self) {
        let (engine, key) = self.all.remove(0);
        self.put(&engine, &key, "draining");
    }

    fn crash(&self, index: usize) {
        self.all[index % self.all.len()].0.crash();
    }

    /// Replaces the entries of targets that have restarted.
    fn refresh(&mut self) {
        let store = &self.platform.store;
        for (engine, key) in &mut self.all {
            let now = engine.entry_key();
            if now != *key && !engine.is_down() {
                store.remove(key);
                store.put(&now, engine.entry("engines", "ready"));
                *key = now;
            }
        }
    }
}

/// Does the next thing that the operator plans or that fails.
fn step(
    rng: &mut StdRng,
    engines: &mut Engines<'_>,
    versions: &mut VecDeque<&'static str>,
    routers: &mut [Router],
) {
    match rng.random_range(0..6) {
        0 | 1 => {
            if let Some(version) = versions.pop_front() {
                engines.start(version);
            }
        }
        2 if engines.all.len() > 4 => engines.retire(),
        2 | 3 => engines.crash(rng.random_range(0..16)),
        _ => {
            let index = rng.random_range(0..routers.len());
            // One router at a time is down.
            if routers.iter().all(Router::is_ready) {
                let router = &mut routers[index];
                router.signal(Signal::SIGKILL);
                router.wait();
                router.spawn();
            }
        }
    }
}

fn run(seed: u64) -> Tally {
    let platform = TestPlatform::with_engines(PREPAID, 0);
    let mut engines = Engines::new(&platform);
    for _ in 0..3 {
        engines.start("v1");
    }
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|n| Router::start(&format!("r{n}"), &platform.store))
        .collect();
    let ports: Vec<u16> = routers.iter().map(Router::port).collect();
    let shared = Shared::default();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut versions = VecDeque::from(["v2", "v2", "v2", "v3", "v3"]);
    scope(|threads| {
        let _end = EndOnDrop(&shared);
        for name in 0..CALLERS {
            let rng = StdRng::seed_from_u64(seed * CALLERS + name);
            let ports = &ports;
            let mut caller = Caller { name, rng, ports };
            let shared = &shared;
            threads.spawn(move || caller.run(shared));
        }
        let mut steps = 0;
        wait_for("streams that are taken up", || {
            sleep(STEP);
            engines.refresh();
            step(&mut rng, &mut engines, &mut versions, &mut routers);
            steps += 1;
            steps >= STEPS && shared.has_enough()
        });
    });
    shared.tally.into_inner()
}

/// Guards against streams of two versions, and against refusing them all, in a roll with faults.
#[test]
fn streams_lose_their_version_in_a_roll_with_faults() {
    for seed in [1, 2] {
        let tally = run(seed);
        println!(
            "seed {seed}: {} streams, {} taken up, {} went on",
            tally.parts.len(),
            tally.taken_up,
            tally.gone_on
        );
        tally.parts.iter().for_each(Part::assert_one_version);
        assert!(2 * tally.gone_on >= tally.taken_up, "seed {seed}");
    }
}
