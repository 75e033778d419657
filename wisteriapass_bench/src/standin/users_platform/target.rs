//! A target of the users' platform: streams events or answers whole, and can go wrong.

mod wire;

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use parking_lot::Mutex;

pub use self::wire::ReceivedRequest;

/// Time from a crash to the next start, unless it is set.
const AWAY: Duration = Duration::from_secs(1);

/// Time between two tries to listen again.
const RETRY: Duration = Duration::from_millis(10);

/// What a target does with its next request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers as it should.
    #[default]
    Answer,
    /// Says that it is full and did not run it.
    Shed,
    /// Runs it and answers with a failure of its own.
    ServerError,
    /// Runs it and closes the connection without an answer.
    CloseUnanswered,
    /// Runs it and breaks its stream off in the middle of the event behind this one.
    BreakAfter(u64),
    /// Says that it is not the target that was meant and did not run it.
    Misdirected,
    /// Runs it and answers with another request's id.
    WrongAttemptId,
    /// Runs it and sends bytes that are no answer.
    MalformedAnswer,
    /// Runs it, and its stream takes this many times as long.
    SlowStream(u32),
    /// Has no free slot for it until its time is up, and says then that it did not run it.
    QueueTimeout,
    /// Runs it without a word until its time is up.
    Hang,
    /// Runs it and sends a stream's head and this many events, and nothing more whatever its time.
    Stall(u64),
}

impl Behaviour {
    /// Returns whether the request begins to run.
    fn runs(self) -> bool {
        !matches!(self, Self::Shed | Self::Misdirected | Self::QueueTimeout)
    }
}

/// Says whether a target crashes when it begins to run a request.
pub type CrashCondition = fn(&ReceivedRequest) -> bool;

#[derive(Debug, Default)]
struct State {
    next: VecDeque<Behaviour>,
    seen: Vec<ReceivedRequest>,
    poison: Option<CrashCondition>,
    away: Option<Duration>,
    /// Number of the start; each has an id of its own.
    start: u32,
    is_down: bool,
    /// Open connections, by the caller's address.
    open: BTreeMap<SocketAddr, TcpStream>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    addr: SocketAddr,
    state: Mutex<State>,
}

/// A running stand-in; its threads end with the test's process.
#[derive(Debug)]
pub struct SimulatedTarget {
    shared: Arc<Shared>,
}

impl SimulatedTarget {
    /// Starts on a free port.
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub fn start(name: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let shared = Arc::new(Shared {
            name: name.into(),
            addr: listener.local_addr()?,
            state: Mutex::new(State::default()),
        });
        let served = Arc::clone(&shared);
        spawn(move || served.live(listener));
        Ok(Self { shared })
    }

    /// Returns its entry in the service.
    pub fn entry(&self, service: &str, state: &str) -> String {
        self.entry_in_domain("z", service, state, 0)
    }

    /// Returns its entry in a failure domain while it stays cold for `cold_ms`.
    pub fn entry_in_domain(
        &self,
        domain: &str,
        service: &str,
        state: &str,
        cold_ms: u64,
    ) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{domain}","version":"v1","slots":4,"state":"{state}","cold_remaining_ms":{cold_ms},"sequence":1}}"#,
            self.shared.addr
        )
    }

    /// Returns the key of that entry; each start has another.
    pub fn entry_key(&self) -> String {
        format!("servers/{}", self.shared.id(&self.shared.state.lock()))
    }

    /// Sets what it does with its next requests.
    pub fn push_behaviours(&self, next: &[Behaviour]) {
        self.shared.state.lock().next.extend(next);
    }

    /// Sets what it does with its next requests, and forgets what was set before.
    pub fn replace_behaviours(&self, next: &[Behaviour]) {
        self.shared.state.lock().next = next.iter().copied().collect();
    }

    /// Drops what it would do with its next requests; it answers them as it should.
    pub fn clear_behaviours(&self) {
        self.shared.state.lock().next.clear();
    }

    /// Sets which requests crash it, and how long it is away after a crash.
    pub fn set_crash_condition(&self, poison: CrashCondition, away: Duration) {
        let mut state = self.shared.state.lock();
        state.poison = Some(poison);
        state.away = Some(away);
    }

    /// Ends it now: it takes no more connections and closes all that it has.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns how often it crashed.
    pub fn crash_count(&self) -> u32 {
        let state = self.shared.state.lock();
        state.start + u32::from(state.is_down)
    }

    /// Returns whether it crashed and is not back yet.
    pub fn is_down(&self) -> bool {
        self.shared.state.lock().is_down
    }

    /// Returns all requests that arrived.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.state.lock().seen.clone()
    }

    /// Returns how many requests ran.
    pub fn run_count(&self) -> usize {
        let state = self.shared.state.lock();
        state.seen.iter().filter(|s| s.ran).count()
    }
}

impl Shared {
    fn id(&self, state: &State) -> String {
        match state.start {
            0 => self.name.clone(),
            start => format!("{}-{start}", self.name),
        }
    }

    /// Serves one start after the other.
    fn live(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            self.accept(&listener);
            drop(listener);
            let away = self.close_all();
            sleep(away);
            listener = self.listen();
            let mut state = self.state.lock();
            state.start += 1;
            state.is_down = false;
        }
    }

    /// Takes connections until it crashes.
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            // A caller that has gone already needs no service.
            let Ok(caller) = stream.peer_addr() else {
                continue;
            };
            let Ok(start) = self.admit(&stream, caller) else {
                return;
            };
            let shared = Arc::clone(self);
            spawn(move || {
                // The caller's end of a connection ends it here.
                shared.serve(&stream, start).ok();
                shared.close(&stream, caller);
            });
        }
    }

    /// Returns the start that a connection belongs to.
    fn admit(&self, stream: &TcpStream, caller: SocketAddr) -> io::Result<u32> {
        let mut state = self.state.lock();
        if state.is_down {
            return Err(gone());
        }
        state.open.insert(caller, stream.try_clone()?);
        Ok(state.start)
    }

    fn close(&self, stream: &TcpStream, caller: SocketAddr) {
        self.state.lock().open.remove(&caller);
        // It may be closed already.
        stream.shutdown(Shutdown::Both).ok();
    }

    fn crash(&self) {
        let was_down = std::mem::replace(&mut self.state.lock().is_down, true);
        if !was_down {
            // Wakes the thread that takes connections; whether this one is taken is no matter.
            TcpStream::connect(self.addr).ok();
        }
    }

    /// Closes all connections; returns how long it is away.
    fn close_all(&self) -> Duration {
        let mut state = self.state.lock();
        for stream in state.open.values() {
            // It may be closed already.
            stream.shutdown(Shutdown::Both).ok();
        }
        state.open.clear();
        state.away.unwrap_or(AWAY)
    }

    /// Listens at the same address as before.
    fn listen(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => return listener,
                // Another socket may have the port for a moment.
                Err(_) => sleep(RETRY),
            }
        }
    }

    fn serve(&self, stream: &TcpStream, start: u32) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream.try_clone()?;
        loop {
            let seen = wire::read(&mut reader)?;
            match self.decide(&seen, start)? {
                Decision::Answer(behaviour) => wire::answer(&mut out, &seen, behaviour)?,
                Decision::Crash => {
                    wire::begin(&mut out, &seen)?;
                    self.crash();
                    // This connection is closed together with all others.
                    io::copy(&mut reader, &mut io::sink())?;
                }
            }
        }
    }

    /// Notes a request that arrived, and decides what becomes of it.
    fn decide(&self, seen: &ReceivedRequest, start: u32) -> io::Result<Decision> {
        let mut state = self.state.lock();
        if state.is_down || state.start != start {
            return Err(gone());
        }
        let meant = seen.header("x-expected-instance");
        let behaviour = if meant.is_empty() || meant == self.id(&state) {
            state.next.pop_front().unwrap_or_default()
        } else {
            Behaviour::Misdirected
        };
        let ran = behaviour.runs();
        state.seen.push(ReceivedRequest {
            ran,
            ..seen.clone()
        });
        if ran && state.poison.is_some_and(|is_poison| is_poison(seen)) {
            return Ok(Decision::Crash);
        }
        Ok(Decision::Answer(behaviour))
    }
}

/// What becomes of a request that arrived.
enum Decision {
    Answer(Behaviour),
    Crash,
}

fn gone() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}
