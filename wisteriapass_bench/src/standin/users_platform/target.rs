//! Simulated target of the users' platform, which streams events or answers at once, and injects
//! faults.

mod broken;
mod endless;
mod wire;

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use parking_lot::Mutex;
use socket2::{Domain, SockRef, Socket, Type};

pub use self::broken::{BreakOff, BreakPoint, Framing};
pub use self::endless::EndlessPart;
pub use self::wire::ReceivedRequest;

/// Time from a crash to the restart, unless the test sets one.
const DEFAULT_RESTART_DELAY: Duration = Duration::from_secs(1);

/// Version of the software of a target, unless the test sets one.
const DEFAULT_VERSION: &str = "v1";

/// Interval between attempts to listen again after a crash.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What a target does with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers correctly.
    #[default]
    Answer,
    /// Refuses the request with status 503, without running it.
    Shed,
    /// Runs the request and answers with status 500.
    ServerError,
    /// Runs the request and closes the connection without an answer.
    CloseUnanswered,
    /// Runs the request and closes the connection in the middle of the event after this one.
    BreakAfter(u64),
    /// Runs the request and breaks off its answer.
    BreakOff(BreakOff),
    /// Runs the request and answers correctly, but only the end of the connection marks the end of
    /// the answer; this text follows the last event of a stream.
    AnswerUnframed(&'static str),
    /// Runs the request and ends its unframed answer at the request's deadline, after this many
    /// events.
    EndAtDeadline(u64),
    /// Refuses the request as meant for another instance, with status 421, without running it.
    Misdirected,
    /// Runs the request and answers with the attempt id of another one.
    WrongAttemptId,
    /// Runs the request and sends bytes that are not an HTTP answer.
    MalformedAnswer,
    /// Runs the request and streams all events in one chunk.
    AnswerAtOnce,
    /// Runs the request and streams its events this many times slower.
    SlowStream(u32),
    /// Queues the request until its deadline and then refuses it, without running it.
    QueueTimeout,
    /// Runs the request and sends nothing until its deadline.
    Hang,
    /// Runs the request and answers without end, as fast as the answer is read.
    Endless(EndlessPart),
    /// Runs the request and answers without end, a byte at a time.
    Drip(EndlessPart),
    /// Runs the request, sends the head of a stream and this many events, and then nothing more,
    /// even after the deadline.
    Stall(u64),
}

impl Behaviour {
    /// Returns whether the target starts to run the request.
    fn runs(self) -> bool {
        !matches!(self, Self::Shed | Self::Misdirected | Self::QueueTimeout)
    }
}

/// Returns whether a target crashes when it starts to run a request.
pub type CrashCondition = fn(&ReceivedRequest) -> bool;

#[derive(Debug, Default)]
struct State {
    behaviours: VecDeque<Behaviour>,
    requests: Vec<ReceivedRequest>,
    crash_condition: Option<CrashCondition>,
    restart_delay: Option<Duration>,
    /// How a crash breaks off the answer to the request that causes it.
    crash_break: Option<BreakOff>,
    /// Time for which it resets new connections after a crash, before it refuses them.
    exit_delay: Duration,
    /// Headers of its answers by which the target states something about itself.
    statements: BTreeMap<&'static str, &'static str>,
    /// Version of its software.
    version: Option<&'static str>,
    /// Text that marks its events, if any.
    event_mark: Option<&'static str>,
    /// Number of restarts so far; the target has a different id after each.
    incarnation: u32,
    is_down: bool,
    /// Whether it has crashed and does not refuse connections yet.
    is_exiting: bool,
    /// Whether it resets new connections while it serves the open ones.
    is_saturated: bool,
    /// Number of answers that are being sent.
    unfinished_answers: usize,
    /// Open connections, by the client's address.
    connections: BTreeMap<SocketAddr, TcpStream>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    addr: SocketAddr,
    /// Keeps the port from being taken by others while the target is down.
    _reserved_port: Socket,
    state: Mutex<State>,
}

/// A running simulated target, whose threads run until the test's process ends.
#[derive(Debug)]
pub struct SimulatedTarget {
    shared: Arc<Shared>,
}

impl SimulatedTarget {
    /// Starts a target on a free port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start(name: &str) -> io::Result<Self> {
        let reserved_port = reserve_port()?;
        let addr = reserved_port.local_addr()?.as_socket();
        let addr = addr.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = TcpListener::bind(addr)?;
        let shared = Arc::new(Shared {
            name: name.into(),
            addr,
            _reserved_port: reserved_port,
            state: Mutex::new(State::default()),
        });
        let server = Arc::clone(&shared);
        spawn(move || server.run(listener));
        Ok(Self { shared })
    }

    /// Returns the address that the target listens on.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the target's entry in the key-value service.
    pub fn entry(&self, service: &str, state: &str) -> String {
        self.entry_in_domain("z", service, state, 0)
    }

    /// Returns the target's entry, with a failure domain and the time for which it stays cold.
    pub fn entry_in_domain(
        &self,
        domain: &str,
        service: &str,
        state: &str,
        cold_ms: u64,
    ) -> String {
        let version = self.shared.state.lock().version.unwrap_or(DEFAULT_VERSION);
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{domain}","version":"{version}","slots":4,"state":"{state}","cold_remaining_ms":{cold_ms},"sequence":1}}"#,
            self.shared.addr
        )
    }

    /// Returns the key of the target's entry, which changes with each restart.
    pub fn entry_key(&self) -> String {
        format!("servers/{}", self.shared.id(&self.shared.state.lock()))
    }

    /// Adds behaviours for the requests after those that already have one.
    pub fn push_behaviours(&self, behaviours: &[Behaviour]) {
        self.shared.state.lock().behaviours.extend(behaviours);
    }

    /// Replaces the behaviours for the next requests.
    pub fn replace_behaviours(&self, behaviours: &[Behaviour]) {
        self.shared.state.lock().behaviours = behaviours.iter().copied().collect();
    }

    /// Removes the behaviours for the next requests, so that they are answered correctly.
    pub fn clear_behaviours(&self) {
        self.shared.state.lock().behaviours.clear();
    }

    /// Sets which requests crash the target, and the time from a crash to the restart.
    pub fn set_crash_condition(&self, crash_condition: CrashCondition, restart_delay: Duration) {
        let mut state = self.shared.state.lock();
        state.crash_condition = Some(crash_condition);
        state.restart_delay = Some(restart_delay);
    }

    /// Sets how much of its answer the request that crashes the target gets, and in what framing;
    /// without it, it gets the head of a stream, or nothing of a plain answer.
    pub fn set_crash_break(&self, crash_break: BreakOff) {
        self.shared.state.lock().crash_break = Some(crash_break);
    }

    /// Sets the time for which the target resets new connections when it crashes on a request, as a
    /// process that is terminating does, before it refuses them.
    pub fn set_exit_delay(&self, exit_delay: Duration) {
        self.shared.state.lock().exit_delay = exit_delay;
    }

    /// Makes the target reset each new connection while it serves the open ones, or not.
    pub fn set_saturated(&self, is_saturated: bool) {
        self.shared.state.lock().is_saturated = is_saturated;
    }

    /// Sets the version of the target's software, which its entry names and its events carry.
    pub fn set_version(&self, version: &'static str) {
        self.shared.state.lock().version = Some(version);
        self.set_event_mark(version);
    }

    /// Sets a text that marks the target's events.
    pub fn set_event_mark(&self, mark: &'static str) {
        self.shared.state.lock().event_mark = Some(mark);
    }

    /// Makes the target name a limit of requests per second in its answers, or no limit.
    pub fn set_limit(&self, limit: Option<&'static str>) {
        self.shared.set_statement("Server-Limit", limit);
    }

    /// Makes the target state in its answers that it leaves, or not.
    pub fn set_leaving(&self, is_leaving: bool) {
        let value = is_leaving.then_some("1");
        self.shared.set_statement("Server-Leaving", value);
    }

    /// Makes the target state in its answers after how many seconds it wants the next request, or
    /// nothing.
    pub fn set_retry_after(&self, value: Option<&'static str>) {
        self.shared.set_statement("Retry-After", value);
    }

    /// Crashes the target: it stops accepting connections and closes all open ones.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the number of crashes so far.
    pub fn crash_count(&self) -> u32 {
        let state = self.shared.state.lock();
        state.incarnation + u32::from(state.is_down)
    }

    /// Returns whether the target has crashed and not restarted yet.
    pub fn is_down(&self) -> bool {
        self.shared.state.lock().is_down
    }

    /// Returns the number of answers that it is sending.
    pub fn unfinished_answers(&self) -> usize {
        self.shared.state.lock().unfinished_answers
    }

    /// Returns all requests received so far.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.state.lock().requests.clone()
    }

    /// Returns the number of requests that ran.
    pub fn run_count(&self) -> usize {
        let state = self.shared.state.lock();
        state.requests.iter().filter(|request| request.ran).count()
    }
}

impl Shared {
    /// Returns the target's current id, which changes with each restart.
    fn id(&self, state: &State) -> String {
        match state.incarnation {
            0 => self.name.clone(),
            restarts => format!("{}-{restarts}", self.name),
        }
    }

    fn set_statement(&self, header: &'static str, value: Option<&'static str>) {
        let mut state = self.state.lock();
        state.statements.remove(header);
        state.statements.extend(value.map(|value| (header, value)));
    }

    /// Serves connections, and restarts after each crash.
    fn run(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            self.accept(&listener);
            stop_listening(listener);
            let restart_delay = self.close_all();
            sleep(restart_delay);
            listener = self.listen();
            let mut state = self.state.lock();
            state.incarnation += 1;
            state.statements.clear();
            state.is_down = false;
        }
    }

    /// Accepts connections until the target crashes.
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            // The client has already disconnected.
            let Ok(client) = stream.peer_addr() else {
                continue;
            };
            if self.resets_new_connections() {
                reset(&stream);
                continue;
            }
            let Ok(incarnation) = self.register_connection(&stream, client) else {
                if self.state.lock().is_exiting {
                    continue;
                }
                return;
            };
            let shared = Arc::clone(self);
            spawn(move || {
                // Fails when the client disconnects, which ends the connection here as well.
                shared.serve(&stream, incarnation).ok();
                shared.close(&stream, client);
            });
        }
    }

    /// Returns whether it is saturated, and not woken up by a crash.
    fn resets_new_connections(&self) -> bool {
        let state = self.state.lock();
        state.is_saturated && !state.is_down
    }

    /// Registers a connection and returns the incarnation that it belongs to.
    fn register_connection(&self, stream: &TcpStream, client: SocketAddr) -> io::Result<u32> {
        let mut state = self.state.lock();
        if state.is_down {
            return Err(connection_aborted());
        }
        state.connections.insert(client, stream.try_clone()?);
        Ok(state.incarnation)
    }

    fn close(&self, stream: &TcpStream, client: SocketAddr) {
        self.state.lock().connections.remove(&client);
        end_connection(stream);
    }

    fn crash(&self) {
        let was_down = std::mem::replace(&mut self.state.lock().is_down, true);
        if !was_down {
            self.wake();
        }
    }

    /// Crashes on a request: closes its connection, and resets others before it refuses them.
    fn exit(&self, stream: &TcpStream) {
        let exit_delay = self.state.lock().exit_delay;
        if exit_delay.is_zero() {
            self.crash();
            return;
        }
        let was_down = {
            let mut state = self.state.lock();
            state.is_exiting = true;
            std::mem::replace(&mut state.is_down, true)
        };
        if was_down {
            return;
        }
        // Fails if the connection is already closed.
        stream.shutdown(Shutdown::Both).ok();
        sleep(exit_delay);
        self.state.lock().is_exiting = false;
        self.wake();
    }

    /// Wakes the accepting thread; the connection itself may fail.
    fn wake(&self) {
        TcpStream::connect(self.addr).ok();
    }

    /// Closes all connections; returns the time until the restart.
    fn close_all(&self) -> Duration {
        let mut state = self.state.lock();
        for stream in state.connections.values() {
            end_connection(stream);
        }
        state.connections.clear();
        state.restart_delay.unwrap_or(DEFAULT_RESTART_DELAY)
    }

    /// Listens again at the target's address.
    fn listen(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => return listener,
                // Another socket may hold the port for a moment.
                Err(_) => sleep(BIND_RETRY_INTERVAL),
            }
        }
    }

    fn serve(&self, stream: &TcpStream, incarnation: u32) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream.try_clone()?;
        loop {
            let mut request = wire::read(&mut reader)?;
            {
                let state = self.state.lock();
                request.statements = state.statements.clone();
                request.event_mark = state.event_mark;
            }
            match self.decide(&request, incarnation)? {
                Decision::Answer(behaviour) => {
                    self.state.lock().unfinished_answers += 1;
                    let answered = wire::answer(&mut out, &request, behaviour);
                    self.state.lock().unfinished_answers -= 1;
                    answered?;
                }
                Decision::Crash(crash_break) => {
                    match crash_break {
                        Some(crash_break) => crash_break.send(&mut out, &request)?,
                        None => wire::send_head(&mut out, &request)?,
                    }
                    self.exit(stream);
                    // The crash closes this connection together with all others.
                    io::copy(&mut reader, &mut io::sink())?;
                }
            }
        }
    }

    /// Records a received request and decides what to do with it.
    fn decide(&self, request: &ReceivedRequest, incarnation: u32) -> io::Result<Decision> {
        let mut state = self.state.lock();
        if state.is_down || state.incarnation != incarnation {
            return Err(connection_aborted());
        }
        let expected_instance = request.header("x-expected-instance");
        let behaviour = if expected_instance.is_empty() || expected_instance == self.id(&state) {
            state.behaviours.pop_front().unwrap_or_default()
        } else {
            Behaviour::Misdirected
        };
        let ran = behaviour.runs();
        state.requests.push(ReceivedRequest {
            ran,
            ..request.clone()
        });
        if ran
            && state
                .crash_condition
                .is_some_and(|crashes_on| crashes_on(request))
        {
            return Ok(Decision::Crash(state.crash_break));
        }
        Ok(Decision::Answer(behaviour))
    }
}

/// What a target does with a received request.
enum Decision {
    Answer(Behaviour),
    Crash(Option<BreakOff>),
}

/// Binds a free port without listening.
fn reserve_port() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket)
}

/// Stops listening at once. A process that is being started at this moment holds a copy of the
/// socket until it runs its program, so closing the socket alone would not refuse connections yet.
fn stop_listening(listener: TcpListener) {
    // Fails if the socket does not listen.
    SockRef::from(&listener).shutdown(Shutdown::Both).ok();
}

/// Ends a connection in order, unless it is to be reset.
fn end_connection(stream: &TcpStream) {
    let linger = SockRef::from(stream).linger();
    // Ending the direction to the client would send it an orderly end before the reset.
    let direction = match linger {
        Ok(Some(Duration::ZERO)) => Shutdown::Read,
        _ => Shutdown::Both,
    };
    // Fails if the connection is already closed.
    stream.shutdown(direction).ok();
}

/// Makes the system reset a connection when it is closed.
fn reset(stream: &TcpStream) {
    // Fails if the connection is already closed.
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}

fn connection_aborted() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}
