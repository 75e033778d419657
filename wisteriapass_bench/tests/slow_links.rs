//! Tests of the key-value client on links that take longer to transfer a document than the client
//! waits for the next bytes.

use wisteriapass_bench::link::{Link, LinkFaults};
use wisteriapass_bench::standin::{Platform, PlatformSettings};
use wisteriapass_coord::store::{HttpStore, Revision, Store, Swap};

/// Rate of the link, in bytes per millisecond.
const LINK_RATE: u64 = 300;

/// Size of the document in bytes; its transfer takes 2.4 s at the rate of the link.
const DOCUMENT_BYTES: usize = 720_000;

/// Rate for writing the document, in bytes per millisecond. The transfer takes 1.6 s, which is
/// longer than the read timeout of the client without an allowance for the bytes that it sends.
const SLOW_SEND_RATE: u64 = 450;

/// A service with a document, and a client that is connected to it by a slow link.
struct SlowLinkFixture {
    _platform: Platform,
    link: Link,
    store: HttpStore,
}

impl SlowLinkFixture {
    fn new() -> Self {
        let platform = Platform::start(&PlatformSettings::default()).unwrap();
        let direct = HttpStore::new(platform.addr().to_string());
        let document = "x".repeat(DOCUMENT_BYTES);
        direct.swap("d", Revision::ABSENT, &document, None).unwrap();
        let link = Link::start(platform.addr()).unwrap();
        link.set_faults(LinkFaults::rate_limited(LINK_RATE));
        let store = HttpStore::new(link.addr().to_string());
        Self {
            _platform: platform,
            link,
            store,
        }
    }
}

// Guards against a timeout for the whole answer. With one second, a document that took longer to
// transfer was requested again forever, and the daemon never started serving.
#[test]
fn a_document_that_takes_longer_than_the_read_timeout_is_read() {
    let fixture = SlowLinkFixture::new();
    let entry = fixture.store.get("d").unwrap().unwrap();
    assert_eq!(entry.value.len(), DOCUMENT_BYTES);
}

#[test]
fn a_read_fails_if_the_service_stops_sending_halfway() {
    let fixture = SlowLinkFixture::new();
    let store = fixture.store.clone();
    let reader = std::thread::spawn(move || store.get("d"));
    while fixture.link.forwarded_bytes() < DOCUMENT_BYTES as u64 / 4 {
        std::thread::yield_now();
    }
    fixture.link.set_faults(LinkFaults::blackhole());
    assert!(reader.join().unwrap().is_err());
}

#[test]
fn a_document_that_takes_longer_to_send_than_the_read_timeout_is_written() {
    let fixture = SlowLinkFixture::new();
    fixture
        .link
        .set_faults(LinkFaults::rate_limited(SLOW_SEND_RATE));
    let document = "y".repeat(DOCUMENT_BYTES);
    let swap = fixture.store.swap("e", Revision::ABSENT, &document, None);
    assert!(matches!(swap, Ok(Swap::Done(_))), "{swap:?}");
}
