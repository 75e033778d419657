//! The client of the key-value service on links that take longer for a document than it may be silent.

use wisteriapass_bench::link::{Link, LinkFaults};
use wisteriapass_bench::standin::{Platform, PlatformSettings};
use wisteriapass_coord::store::{HttpStore, Revision, Store, Swap};

/// Pace of the link, in bytes a millisecond.
const PACE: u64 = 300;

/// Bytes of a document that takes 2.4 s at that pace.
const LARGE: usize = 720_000;

/// Pace at which the large document takes 1.6 s to send: more than a silence ends a call.
const SENDING_PACE: u64 = 450;

/// A service with a document, and a client of it behind the slow link.
struct Scene {
    _platform: Platform,
    link: Link,
    store: HttpStore,
}

impl Scene {
    fn new() -> Self {
        let platform = Platform::start(&PlatformSettings::default()).unwrap();
        let direct = HttpStore::new(platform.addr().to_string());
        let document = "x".repeat(LARGE);
        direct.swap("d", Revision::ABSENT, &document, None).unwrap();
        let link = Link::start(platform.addr()).unwrap();
        link.set_faults(LinkFaults::rate_limited(PACE));
        let store = HttpStore::new(link.addr().to_string());
        Self {
            _platform: platform,
            link,
            store,
        }
    }
}

// A call had one second for its whole answer: a document that a link takes longer for was given up
// and asked for again without end, and the daemon never came to serve.
#[test]
fn a_document_that_takes_longer_than_a_silence_is_read() {
    let scene = Scene::new();
    let entry = scene.store.get("d").unwrap().unwrap();
    assert_eq!(entry.value.len(), LARGE);
}

#[test]
fn a_service_that_falls_silent_within_an_answer_is_given_up() {
    let scene = Scene::new();
    let store = scene.store.clone();
    let reader = std::thread::spawn(move || store.get("d"));
    while scene.link.forwarded_bytes() < LARGE as u64 / 4 {
        std::thread::yield_now();
    }
    scene.link.set_faults(LinkFaults::blackhole());
    assert!(reader.join().unwrap().is_err());
}

#[test]
fn a_document_that_takes_longer_to_send_than_a_silence_is_written() {
    let scene = Scene::new();
    scene
        .link
        .set_faults(LinkFaults::rate_limited(SENDING_PACE));
    let document = "y".repeat(LARGE);
    let swap = scene.store.swap("e", Revision::ABSENT, &document, None);
    assert!(matches!(swap, Ok(Swap::Done(_))), "{swap:?}");
}
