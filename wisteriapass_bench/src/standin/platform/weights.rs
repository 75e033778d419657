//! The platform's weight store, whose download rate is shared by all downloads.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::standin::http::Call;

/// Size of one chunk of a download, in bytes.
const CHUNK_BYTES: u64 = 64 << 10;

/// Weight store in which all models have the same size.
pub(super) struct WeightStore {
    bytes_per_model: u64,
    bytes_per_second: u64,
    /// Time at which all scheduled chunks will have been sent.
    busy_until: Mutex<Instant>,
}

impl WeightStore {
    /// Creates a store; `bytes_per_second` is the total rate of all downloads.
    pub fn new(bytes_per_model: u64, bytes_per_second: u64) -> Self {
        Self {
            bytes_per_model,
            bytes_per_second: bytes_per_second.max(1),
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// Serves one download, at the rate that other downloads leave available.
    pub fn serve(&self, call: Call) {
        let Ok(mut stream) = call.stream("application/octet-stream", "weights") else {
            return;
        };
        let mut remaining = self.bytes_per_model;
        while remaining > 0 {
            let size = remaining.min(CHUNK_BYTES);
            self.wait_for_bandwidth(size);
            let chunk = vec![0; usize::try_from(size).unwrap_or_default()];
            if stream.send(&chunk).is_err() {
                return;
            }
            remaining -= size;
        }
        stream.finish().ok();
    }

    /// Waits until the shared rate allows a chunk of this size to be sent.
    fn wait_for_bandwidth(&self, size: u64) {
        let duration =
            Duration::from_micros(size.saturating_mul(1_000_000) / self.bytes_per_second);
        let send_at = {
            let mut busy_until = self.busy_until.lock();
            *busy_until = (*busy_until).max(Instant::now()) + duration;
            *busy_until
        };
        std::thread::sleep(send_at.saturating_duration_since(Instant::now()));
    }
}
