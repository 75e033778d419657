//! Callers that leave streams, or whose router dies, and take them up again.

use nix::sys::signal::Signal;
use wisteriapass_bench::standin::users_platform::Behaviour;

use super::{OpenStream, Piece, Request, Router, TestPlatform, pieces};

/// Streams that take a second, so that callers and routers can leave them in the middle.
const SLOW: Behaviour = Behaviour::SlowStream(10);

/// Number of slow streams that each target is prepared for.
pub const SLOW_STREAMS: usize = 100;

/// Number of events after which a caller leaves, or its router dies.
pub const RECEIVED: usize = 2;

/// Ids of the events of a whole stream.
const WHOLE: [u64; 5] = [1, 2, 3, 4, 5];

/// Returns a request for a stream that may be resumed.
pub fn stream(id: &str) -> Request {
    Request::new(id, "/ask/x").with_tokens(10, 10)
}

/// Makes the streams of all engines slow.
pub fn slow_down(platform: &TestPlatform) {
    for engine in &platform.engines {
        engine.push_behaviours(&[SLOW; SLOW_STREAMS]);
    }
}

/// The part of a stream that its caller has.
#[derive(Clone, Debug)]
pub struct Part {
    /// Attempt that brought the first event.
    pub id: String,
    pub pieces: Vec<Piece>,
}

impl Part {
    /// Returns the request that takes the stream up.
    pub fn next_request(&self, id: &str) -> Request {
        let last = self.pieces.last().map_or(0, |piece| piece.id);
        let (last, resumes) = (
            format!("Last-Event-Id: {last}"),
            format!("Resumes: {}", self.id),
        );
        stream(id).with_headers(&[&last, &resumes])
    }

    /// Takes the stream up at a router; returns the status.
    pub fn take_up(&mut self, router: &Router) -> u16 {
        let id = format!("{}-{}", self.id, self.pieces.len());
        let received = router.receive(&self.next_request(&id));
        self.pieces.extend(pieces(received.text().as_bytes()));
        received.answer().map_or(0, |answer| answer.status)
    }

    pub fn version(&self) -> &str {
        &self.pieces[0].version
    }

    /// Asserts that no event is of another version or out of order.
    pub fn assert_one_version(&self) {
        let is_same = |piece: &Piece| piece.version == self.version();
        assert!(self.pieces.iter().all(is_same), "{self:?}");
        let ids = self.pieces.iter().map(|piece| piece.id);
        assert!(ids.eq(1..=self.pieces.len() as u64), "{self:?}");
    }

    pub fn is_whole(&self) -> bool {
        self.pieces.iter().map(|piece| piece.id).eq(WHOLE)
    }
}

/// Begins streams at a router and receives the first events of each.
pub fn begin(router: &Router, series: &str, count: usize) -> Vec<(String, OpenStream)> {
    let ids = (0..count).map(|n| format!("{series}{n}"));
    let mut streams: Vec<(String, OpenStream)> = ids
        .map(|id| (id.clone(), OpenStream::begin(router, &stream(&id))))
        .collect();
    for (_, open) in &mut streams {
        open.receive_events(RECEIVED);
    }
    streams
}

/// Closes the callers' connections.
pub fn leave(streams: Vec<(String, OpenStream)>) -> Vec<Part> {
    let left = streams.into_iter().map(|(id, open)| Part {
        id,
        pieces: open.leave(),
    });
    left.collect()
}

/// Begins streams, kills their router and returns what the callers have.
pub fn begin_and_kill(router: &mut Router, series: &str, count: usize) -> Vec<Part> {
    let streams = begin(router, series, count);
    router.signal(Signal::SIGKILL);
    router.wait();
    let received = streams.into_iter().map(|(id, open)| Part {
        id,
        pieces: pieces(open.receive_rest().text().as_bytes()),
    });
    received.collect()
}

/// Takes all streams up at the routers in turn; asserts that none holds events of two versions, and
/// returns the number of those that went on to their end.
pub fn take_up_all(parts: &mut [Part], routers: &[&Router]) -> usize {
    for (n, part) in parts.iter_mut().enumerate() {
        part.take_up(routers[n % routers.len()]);
    }
    parts.iter().for_each(Part::assert_one_version);
    parts.iter().filter(|part| part.is_whole()).count()
}
