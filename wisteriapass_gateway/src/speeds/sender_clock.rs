//! Estimates when a message was sent, by the clock of the receiver.

/// Time by which the estimate of a transit time may fall per second, in milliseconds; far more than
/// two clocks drift apart.
const MAX_DRIFT_MS_PER_S: i64 = 1;

/// Relation of the clock of another router's process to that of this one.
#[derive(Clone, Copy, Debug)]
pub(super) struct SenderClock {
    process: u64,
    /// Time here minus time there of the message with the shortest transit time.
    offset_ms: i64,
    at_ms: u64,
}

impl SenderClock {
    /// Creates the relation from a message that arrives now.
    pub fn new(process: u64, sent_ms: u64, now_ms: u64) -> Self {
        Self {
            process,
            offset_ms: now_ms.cast_signed().wrapping_sub(sent_ms.cast_signed()),
            at_ms: now_ms,
        }
    }

    /// Returns the relation after a further message, and how much longer it was in transit than the
    /// fastest one, in milliseconds.
    pub fn with_message(self, process: u64, sent_ms: u64, now_ms: u64) -> (Self, u64) {
        let latest = Self::new(process, sent_ms, now_ms);
        if process != self.process {
            return (latest, 0);
        }
        let elapsed_s = now_ms.saturating_sub(self.at_ms).cast_signed() / 1_000;
        let expected_ms = self
            .offset_ms
            .saturating_add(elapsed_s * MAX_DRIFT_MS_PER_S);
        let late_ms = latest.offset_ms.saturating_sub(expected_ms);
        if late_ms <= 0 {
            return (latest, 0);
        }
        (self, late_ms.unsigned_abs())
    }
}
