//! Limits the memory for answers that are buffered until they are whole.
//!
//! Handles targets in trouble whose answers never end. Without a limit, one of them fills the memory of
//! its router, and the process is killed with all requests that it serves. With a limit on all answers
//! together alone, endless answers would take the memory of sound ones, so each answer has one as well,
//! and small answers are always buffered.

/// Divisor of the memory of a VM that gives the bytes of all buffered answers together. A growing
/// buffer needs up to three times its bytes while it is moved.
const MEMORY_DIVISOR: u64 = 8;

/// Divisor of the bytes of all answers that gives the limit of one answer: several endless answers
/// at a time leave room for others.
const ANSWER_DIVISOR: u64 = 4;

/// Size up to which an answer is always buffered, in bytes.
const SMALL_ANSWER_BYTES: u64 = 64 << 10;

/// Memory for buffered answers of one router, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct AnswerBudget {
    max_bytes: u64,
    held_bytes: u64,
}

impl AnswerBudget {
    /// Creates the budget of a router on a VM with this much memory, in bytes.
    pub fn new(vm_bytes: u64) -> Self {
        Self {
            max_bytes: vm_bytes / MEMORY_DIVISOR,
            held_bytes: 0,
        }
    }

    /// Takes `more` bytes for an answer that holds `held`; returns whether they are available.
    pub fn take(&mut self, held: u64, more: u64) -> bool {
        let size = held + more;
        let is_small = size <= SMALL_ANSWER_BYTES;
        let fits =
            size <= self.max_bytes / ANSWER_DIVISOR && self.held_bytes + more <= self.max_bytes;
        if is_small || fits {
            self.held_bytes += more;
        }
        is_small || fits
    }

    /// Releases the bytes of an answer.
    pub fn release(&mut self, held: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(held);
    }
}
