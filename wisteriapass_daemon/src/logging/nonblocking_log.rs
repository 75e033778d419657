//! A logger that never blocks the logging thread.

use std::io::{Write, stderr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use flume::{Receiver, Sender, bounded};
use log::{Log, Metadata, Record};

/// Number of buffered lines: a few seconds of heavy logging, at most about a megabyte.
const BUFFERED_LINES: usize = 4_096;

/// Longest time for which a flush waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a flush checks the buffer.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Passes lines to a writer thread; drops and counts lines while the buffer is full.
pub struct NonBlockingLog {
    tx: Sender<String>,
    dropped: Arc<AtomicU64>,
}

impl NonBlockingLog {
    /// Starts the writer thread.
    pub fn new() -> Self {
        let (tx, rx) = bounded(BUFFERED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        spawn(move || write_all(&rx, &counter));
        Self { tx, dropped }
    }
}

impl Log for NonBlockingLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if self.tx.try_send(record.args().to_string()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
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
fn write_all(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut buf = String::new();
    while let Ok(line) = rx.recv() {
        buf.clear();
        buf.push_str(&line);
        buf.push('\n');
        for line in rx.try_iter() {
            buf.push_str(&line);
            buf.push('\n');
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            buf.push_str(&format!("level=WARN part=log Lines lost. lines={count}\n"));
        }
        // If standard error is closed, the error cannot be reported anywhere.
        let _ = stderr().write_all(buf.as_bytes());
    }
}
