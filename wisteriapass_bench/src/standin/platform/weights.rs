//! The platform's weight store, whose rate all downloads share.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::standin::http::Call;

/// Size of one piece of a download, in bytes.
const PIECE: u64 = 64 << 10;

/// Weight store with models of one size.
pub(super) struct WeightStore {
    bytes: u64,
    rate: u64,
    /// When the pieces already promised will have left.
    busy_until: Mutex<Instant>,
}

impl WeightStore {
    /// Creates a store; `bytes` a model, `rate` bytes a second over all downloads.
    pub fn new(bytes: u64, rate: u64) -> Self {
        Self {
            bytes,
            rate: rate.max(1),
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// Serves one download at the rate left to it.
    pub fn serve(&self, call: Call) {
        let Ok(mut stream) = call.stream("application/octet-stream", "weights") else {
            return;
        };
        let mut left = self.bytes;
        while left > 0 {
            let size = left.min(PIECE);
            self.wait_turn(size);
            let piece = vec![0; usize::try_from(size).unwrap_or_default()];
            if stream.send(&piece).is_err() {
                return;
            }
            left -= size;
        }
        stream.finish().ok();
    }

    /// Waits until a piece of this size may leave.
    fn wait_turn(&self, size: u64) {
        let takes = Duration::from_micros(size.saturating_mul(1_000_000) / self.rate);
        let leaves_at = {
            let mut busy_until = self.busy_until.lock();
            *busy_until = (*busy_until).max(Instant::now()) + takes;
            *busy_until
        };
        std::thread::sleep(leaves_at.saturating_duration_since(Instant::now()));
    }
}
