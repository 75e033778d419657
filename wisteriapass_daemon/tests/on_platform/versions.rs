//! Streams go on only at the software version that began them, and do go on where it serves.

use nix::sys::signal::Signal;
use wisteriapass_bench::standin::users_platform::Behaviour;

use crate::support::{OpenStream, Piece, Request, Router, TestPlatform, pieces};

/// Prepaid total that suffices for all streams of a test.
const PREPAID: u64 = 1_000_000;

/// Streams that take a second, so that callers and routers can leave them in the middle.
const SLOW: Behaviour = Behaviour::SlowStream(10);

/// Number of slow streams that each target is prepared for.
const SLOW_STREAMS: usize = 100;

/// Number of events after which a caller leaves, or its router dies.
const RECEIVED: usize = 2;

/// Ids of the events of a whole stream.
const WHOLE: [u64; 5] = [1, 2, 3, 4, 5];

/// Number of streams that are begun together, of which each of two versions gets some.
const STREAMS: usize = 12;

fn stream(id: &str) -> Request {
    Request::new(id, "/ask/x").with_tokens(10, 10)
}

/// Makes the streams of all engines slow.
fn slow_down(platform: &TestPlatform) {
    for engine in &platform.engines {
        engine.push_behaviours(&[SLOW; SLOW_STREAMS]);
    }
}

/// The part of a stream that its caller has.
#[derive(Clone, Debug)]
struct Part {
    /// Attempt that brought the first event.
    id: String,
    pieces: Vec<Piece>,
}

impl Part {
    /// Returns the request that takes the stream up.
    fn next_request(&self, id: &str) -> Request {
        let last = self.pieces.last().map_or(0, |piece| piece.id);
        let (last, resumes) = (
            format!("Last-Event-Id: {last}"),
            format!("Resumes: {}", self.id),
        );
        stream(id).with_headers(&[&last, &resumes])
    }

    /// Takes the stream up at a router; returns the status.
    fn take_up(&mut self, router: &Router) -> u16 {
        let id = format!("{}-{}", self.id, self.pieces.len());
        let received = router.receive(&self.next_request(&id));
        self.pieces.extend(pieces(received.text().as_bytes()));
        received.answer().map_or(0, |answer| answer.status)
    }

    fn version(&self) -> &str {
        &self.pieces[0].version
    }

    /// Asserts that no event is of another version or out of order.
    fn assert_one_version(&self) {
        let is_same = |piece: &Piece| piece.version == self.version();
        assert!(self.pieces.iter().all(is_same), "{self:?}");
        let ids = self.pieces.iter().map(|piece| piece.id);
        assert!(ids.eq(1..=self.pieces.len() as u64), "{self:?}");
    }

    fn is_whole(&self) -> bool {
        self.pieces.iter().map(|piece| piece.id).eq(WHOLE)
    }
}

/// Begins streams at a router and receives the first events of each.
fn begin(router: &Router, series: &str, count: usize) -> Vec<(String, OpenStream)> {
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
fn leave(streams: Vec<(String, OpenStream)>) -> Vec<Part> {
    let left = streams.into_iter().map(|(id, open)| Part {
        id,
        pieces: open.leave(),
    });
    left.collect()
}

/// Begins streams, kills their router and returns what the callers have.
fn begin_and_kill(router: &mut Router, series: &str, count: usize) -> Vec<Part> {
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
fn take_up_all(parts: &mut [Part], routers: &[&Router]) -> usize {
    for (n, part) in parts.iter_mut().enumerate() {
        part.take_up(routers[n % routers.len()]);
    }
    parts.iter().for_each(Part::assert_one_version);
    parts.iter().filter(|part| part.is_whole()).count()
}

/// Guards against streams with events of two software versions, over routers too.
#[test]
fn streams_go_on_at_another_software_version() {
    let platform = TestPlatform::with_versions(PREPAID, &["v1", "v1", "v2", "v2"]);
    slow_down(&platform);
    let [mut a, b, c] = ["a", "b", "c"].map(|name| Router::start(name, &platform.store));
    let mut left = leave(begin(&a, "left", STREAMS));
    assert_eq!(take_up_all(&mut left, &[&a, &b, &c]), STREAMS);
    let mut cut = begin_and_kill(&mut a, "cut", STREAMS);
    assert_eq!(take_up_all(&mut cut, &[&b, &c]), STREAMS);
}
