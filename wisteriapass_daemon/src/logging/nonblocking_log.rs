//! A logger that never blocks the logging thread.

use std::io::{Write, stderr};
use std::iter;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use flume::{Receiver, Sender, bounded};
use log::{Log, Metadata, Record};

/// Number of buffered lines: a few seconds of heavy logging.
const BUFFERED_LINES: usize = 4_096;

/// Size of the buffered lines, in bytes. Lines may contain ids that callers choose.
const BUFFERED_BYTES: usize = 1 << 20;

/// Longest time for which a flush waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a flush checks the buffer.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Passes lines to a writer thread; drops and counts lines while the buffer is full.
pub struct NonBlockingLog {
    tx: Sender<String>,
    counters: Arc<Counters>,
}

#[derive(Default)]
struct Counters {
    /// Size of the buffered lines, in bytes.
    bytes: AtomicUsize,
    /// Number of dropped lines.
    dropped: AtomicU64,
}

impl NonBlockingLog {
    /// Starts the writer thread.
    pub fn new() -> Self {
        let (tx, rx) = bounded(BUFFERED_LINES);
        let counters = Arc::new(Counters::default());
        let shared = Arc::clone(&counters);
        spawn(move || write_all(&rx, &shared));
        Self { tx, counters }
    }
}

impl Log for NonBlockingLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        let size = line.len();
        let before = self.counters.bytes.fetch_add(size, Ordering::Relaxed);
        if before + size > BUFFERED_BYTES || self.tx.try_send(line).is_err() {
            self.counters.bytes.fetch_sub(size, Ordering::Relaxed);
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while !self.tx.is_empty() && Instant::now() < deadline {
            sleep(FLUSH_POLL);
        }
        // The writer may still be writing the line that it took last.
        sleep(FLUSH_POLL);
    }
}

/// Writes all buffered lines with one call each time, and reports how many were dropped.
fn write_all(rx: &Receiver<String>, counters: &Counters) {
    let mut buf = String::new();
    while let Ok(line) = rx.recv() {
        buf.clear();
        let mut size = 0;
        for line in iter::once(line).chain(rx.try_iter()) {
            size += line.len();
            buf.push_str(&line);
            buf.push('\n');
        }
        let count = counters.dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            buf.push_str(&format!("level=WARN part=log Lines lost. lines={count}\n"));
        }
        // If standard error is closed, the error cannot be reported anywhere.
        let _ = stderr().write_all(buf.as_bytes());
        counters.bytes.fetch_sub(size, Ordering::Relaxed);
    }
}
