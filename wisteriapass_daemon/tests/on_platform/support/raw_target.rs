//! A target that answers with any bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use parking_lot::Mutex;

use super::{Request, Router, TestPlatform, wait_for};

/// Id of the target.
const ID: &str = "raw";

/// A whole answer.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\
    Content-Length: 3\r\n\r\nraw";

/// Number of answers in a row after which no other target is in use.
const IN_A_ROW: usize = 12;

/// A target that sends bytes of the test's choice for each request and then
/// closes the connection. It accepts until the test ends.
pub struct RawTarget {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// The next answers, where `{id}` stands for the id of the attempt.
    answer: Mutex<Vec<u8>>,
    received: AtomicUsize,
}

impl RawTarget {
    /// Starts a target, which replaces those of a service.
    pub fn start(platform: &TestPlatform, service: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::<Shared>::default();
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || shared.answer(stream));
            }
        });
        let target = Self { address, shared };
        for replaced in platform.plain.iter().chain(&platform.engines) {
            platform.store.remove(&replaced.entry_key());
        }
        platform
            .store
            .put(&format!("servers/{ID}"), target.entry(service));
        target
    }

    /// Sends requests until many in a row are answered by this target.
    pub fn wait_until_only(&self, router: &Router, path: &str) {
        self.set_answer(WHOLE.as_bytes());
        let mut n = 0;
        wait_for("requests at the raw target alone", || {
            (0..IN_A_ROW).all(|_| {
                n += 1;
                let answer = router.send(&Request::new(&format!("raw-{n}"), path));
                answer.is_some_and(|a| a.body == "raw")
            })
        });
    }

    fn entry(&self, service: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"z","version":"v1","slots":4,"state":"ready"}}"#,
            self.address
        )
    }

    /// Sets the answer to the next requests.
    pub fn set_answer(&self, answer: &[u8]) {
        *self.shared.answer.lock() = answer.to_vec();
    }

    /// Returns the number of requests that arrived.
    pub fn received(&self) -> usize {
        self.shared.received.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn answer(&self, mut stream: TcpStream) {
        let Some(id) = read_attempt_id(&mut stream) else {
            return;
        };
        let answer = self.answer.lock().clone();
        self.received.fetch_add(1, Ordering::Relaxed);
        // The router may have left.
        let _ = stream.write_all(&replace_id(&answer, &id));
    }
}

/// Reads a request; returns its attempt id, or `None` if the connection ends before the head.
fn read_attempt_id(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        // All requests of the tests have this body.
        if text.ends_with("\r\n\r\nbody") {
            let mut lines = text.lines();
            return lines.find_map(|l| Some(l.strip_prefix("x-attempt-id: ")?.to_owned()));
        }
    }
}

/// Replaces the placeholder of the attempt id, also where the answer ends inside it.
fn replace_id(answer: &[u8], id: &str) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer).replace("{id}", id);
    text.into_bytes()
}
