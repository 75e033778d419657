//! Memory that this router holds for others.

use std::sync::Arc;

use derive_more::{Display, Error};
use parking_lot::Mutex;
use wisteriapass_policy::memory_account::{MemoryAccount, Purpose};

use crate::settings::VmSize;

/// Memory that an open connection of a caller holds, in bytes: the head of a request that is being
/// read, and the state of the connection.
pub const CONNECTION_BYTES: u64 = 20 << 10;

/// There is no memory left for a purpose.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("no memory left")]
pub struct MemoryShort;

/// The memory account of this router. Buffers that were handed to the HTTP library count until it
/// drops them, so the account is shared with their owners.
#[derive(Clone, Debug)]
pub struct SharedMemory(Arc<Mutex<MemoryAccount>>);

impl SharedMemory {
    /// Creates the account of a router on a VM of this size.
    pub fn new(vm_size: &VmSize) -> Self {
        let account = MemoryAccount::new(vm_size.memory_bytes());
        let max_connections = vm_size.max_connections();
        let max_bytes = max_connections.map(|count| count.saturating_mul(CONNECTION_BYTES));
        let account = account.with_connection_limit(max_bytes.unwrap_or(u64::MAX));
        Self(Arc::new(Mutex::new(account)))
    }

    /// Holds memory until the result is dropped.
    ///
    /// # Errors
    ///
    /// [`MemoryShort`] if it is not available.
    pub fn hold(&self, purpose: Purpose, bytes: u64) -> Result<HeldMemory, MemoryShort> {
        let mut memory = self.hold_nothing(purpose);
        memory.grow_to(bytes)?;
        Ok(memory)
    }

    /// Returns memory of 0 bytes, which can grow.
    pub fn hold_nothing(&self, purpose: Purpose) -> HeldMemory {
        HeldMemory {
            account: self.clone(),
            purpose,
            bytes: 0,
        }
    }

    /// Returns the current state of the account.
    pub fn account(&self) -> MemoryAccount {
        *self.0.lock()
    }
}

/// Memory that counts against the account until it is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    account: SharedMemory,
    purpose: Purpose,
    bytes: u64,
}

impl HeldMemory {
    /// Grows to a number of bytes, unless it has as many.
    ///
    /// # Errors
    ///
    /// [`MemoryShort`] if they are not available.
    pub fn grow_to(&mut self, bytes: u64) -> Result<(), MemoryShort> {
        let more = bytes.saturating_sub(self.bytes);
        let mut account = self.account.0.lock();
        if more > 0 && !account.take(self.purpose, self.bytes, more) {
            return Err(MemoryShort);
        }
        self.bytes += more;
        Ok(())
    }

    /// Grows or shrinks to a number of bytes.
    ///
    /// # Errors
    ///
    /// [`MemoryShort`] if they are not available.
    pub fn resize(&mut self, bytes: u64) -> Result<(), MemoryShort> {
        if bytes >= self.bytes {
            return self.grow_to(bytes);
        }
        let mut account = self.account.0.lock();
        account.release(self.purpose, self.bytes - bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.account.0.lock().release(self.purpose, self.bytes);
    }
}
