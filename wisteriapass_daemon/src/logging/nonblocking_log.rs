//! Writing log lines without ever making the caller wait.

use std::io::{Write, stderr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use flume::{Receiver, Sender, bounded};
use log::{Log, Metadata, Record};

/// Lines that wait for a slow reader: some seconds of a bad day, and a megabyte at the most.
const LINES: usize = 4_096;

/// Longest wait for the last lines at the end of a process.
const FLUSH: Duration = Duration::from_millis(200);

/// Time between two looks while waiting for them.
const LOOK: Duration = Duration::from_millis(5);

/// Hands lines to a thread that writes them; lines that find no room are lost, and counted.
pub struct NonBlockingLog {
    tx: Sender<String>,
    lost: Arc<AtomicU64>,
}

impl NonBlockingLog {
    /// Starts the thread.
    pub fn new() -> Self {
        let (tx, rx) = bounded(LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&lost);
        spawn(move || write_all(&rx, &counter));
        Self { tx, lost }
    }
}

impl Log for NonBlockingLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if self.tx.try_send(record.args().to_string()).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let until = Instant::now() + FLUSH;
        while !self.tx.is_empty() && Instant::now() < until {
            sleep(LOOK);
        }
        // The line taken last may still be on its way.
        sleep(LOOK);
    }
}

/// Writes lines, all that wait with one call, and says how many were lost.
fn write_all(rx: &Receiver<String>, lost: &AtomicU64) {
    let mut buf = String::new();
    while let Ok(line) = rx.recv() {
        buf.clear();
        buf.push_str(&line);
        buf.push('\n');
        for line in rx.try_iter() {
            buf.push_str(&line);
            buf.push('\n');
        }
        let lines = lost.swap(0, Ordering::Relaxed);
        if lines > 0 {
            buf.push_str(&format!("level=WARN part=log Lines lost. lines={lines}\n"));
        }
        // Without a reader there is nobody to tell.
        let _ = stderr().write_all(buf.as_bytes());
    }
}
