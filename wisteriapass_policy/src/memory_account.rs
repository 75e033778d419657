//! Divides the memory of a router's VM between all that callers, targets and other routers can make
//! the router hold.
//!
//! Handles peers that send without end, do not read, or come in large numbers, each of them within
//! its own limits. With limits for each kind of buffer alone, the sum exceeds the memory, and the
//! process is killed with all requests that it serves. With a single limit for the sum, a few large
//! bodies take the memory of many small requests, so each purpose has a limit of its own as well,
//! and large buffers leave a reserve for small ones.

use derive_more::Display;

/// Divisor of the memory of a VM that gives the bytes of the account. The other half is for the
/// process itself, configurations, and unused parts of buffers.
const MEMORY_DIVISOR: u64 = 2;

/// Size up to which a buffer may use the reserve, in bytes.
const SMALL_BYTES: u64 = 64 << 10;

/// Part of the account, in eighths, that large buffers may fill together with all others.
const LARGE_EIGHTHS: u64 = 6;

/// Part of the account, in eighths, from which memory is short: callers are sent to other routers.
const SHORT_EIGHTHS: u64 = 7;

/// Divisor of the account that gives the limit of one answer: several endless answers at a time
/// leave room for others.
const ANSWER_DIVISOR: u64 = 16;

/// What memory is held for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Purpose {
    /// Connections of callers.
    #[display("connection")]
    Connection,
    /// Connections and calls of other routers, probes and operators, and the answers to them.
    #[display("peer")]
    Peer,
    /// State of requests in progress, and events of streams that wait for their callers.
    #[display("request")]
    Request,
    /// Bodies of callers' requests.
    #[display("body")]
    Body,
    /// Bodies of answers that are buffered until they are whole, or wait for their callers.
    #[display("answer")]
    Answer,
}

impl Purpose {
    /// All purposes, in the order of their indexes.
    pub const ALL: [Self; 5] = [
        Self::Connection,
        Self::Peer,
        Self::Request,
        Self::Body,
        Self::Answer,
    ];

    /// Returns the limit of all buffers for this purpose, in eighths of the account.
    fn eighths(self) -> u64 {
        match self {
            Self::Connection => 6,
            Self::Peer => 3,
            Self::Request => 8,
            Self::Body => 4,
            Self::Answer => 2,
        }
    }

    /// Returns whether large buffers for this purpose leave a reserve, and small ones are exempt from
    /// its limit, so that large ones do not take the memory of small ones.
    fn leaves_reserve(self) -> bool {
        matches!(self, Self::Body | Self::Answer)
    }
}

/// Memory that a router holds for others, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct MemoryAccount {
    max_bytes: u64,
    /// Limit of callers' connections, which need other resources as well.
    max_connection_bytes: u64,
    held: [u64; Purpose::ALL.len()],
}

impl MemoryAccount {
    /// Creates the account of a router on a VM with this much memory, in bytes.
    pub fn new(vm_bytes: u64) -> Self {
        Self {
            max_bytes: vm_bytes / MEMORY_DIVISOR,
            max_connection_bytes: u64::MAX,
            held: [0; Purpose::ALL.len()],
        }
    }

    /// Limits the memory for callers' connections, in bytes, below what the VM's memory permits.
    pub fn with_connection_limit(mut self, bytes: u64) -> Self {
        self.max_connection_bytes = bytes;
        self
    }

    /// Takes `more` bytes for a buffer that holds `held`; returns whether they are available.
    pub fn take(&mut self, purpose: Purpose, held: u64, more: u64) -> bool {
        let fits = self.fits(purpose, held.saturating_add(more), more);
        if fits {
            self.held[purpose as usize] += more;
        }
        fits
    }

    /// Releases bytes that were taken.
    pub fn release(&mut self, purpose: Purpose, bytes: u64) {
        let held = &mut self.held[purpose as usize];
        *held = held.saturating_sub(bytes);
    }

    /// Returns the bytes that are held for a purpose.
    pub fn held(&self, purpose: Purpose) -> u64 {
        self.held[purpose as usize]
    }

    /// Returns the bytes that are held for all purposes.
    pub fn total(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Returns whether so little is left that callers should use other routers.
    pub fn is_short(&self) -> bool {
        let max_connections = self.limit(Purpose::Connection);
        let connections = self.held(Purpose::Connection);
        self.total() >= self.eighths(SHORT_EIGHTHS)
            || connections >= max_connections / 8 * SHORT_EIGHTHS
    }

    fn fits(&self, purpose: Purpose, size: u64, more: u64) -> bool {
        let total = self.total().saturating_add(more);
        let is_reserved = size > SMALL_BYTES && purpose.leaves_reserve();
        let max_total = match is_reserved {
            true => self.eighths(LARGE_EIGHTHS),
            false => self.max_bytes,
        };
        total <= max_total && self.fits_purpose(purpose, size, more)
    }

    fn fits_purpose(&self, purpose: Purpose, size: u64, more: u64) -> bool {
        if size <= SMALL_BYTES && purpose.leaves_reserve() {
            return true;
        }
        if purpose == Purpose::Answer && size > self.max_bytes / ANSWER_DIVISOR {
            return false;
        }
        self.held(purpose).saturating_add(more) <= self.limit(purpose)
    }

    /// Returns the limit of all buffers for a purpose, in bytes.
    fn limit(&self, purpose: Purpose) -> u64 {
        let by_memory = self.eighths(purpose.eighths());
        match purpose {
            Purpose::Connection => by_memory.min(self.max_connection_bytes),
            Purpose::Peer | Purpose::Request | Purpose::Body | Purpose::Answer => by_memory,
        }
    }

    fn eighths(&self, count: u64) -> u64 {
        self.max_bytes / 8 * count
    }
}
