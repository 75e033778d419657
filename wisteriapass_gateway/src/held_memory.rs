//! Memory that this router holds for others.

use std::sync::Arc;

use derive_more::{Display, Error};
use parking_lot::Mutex;
use wisteriapass_policy::memory_account::{MemoryAccount, Purpose};

/// There is no memory left for a purpose.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("no memory left")]
pub struct MemoryShort;

/// The memory account of this router. Buffers that were handed to the HTTP library count until it
/// drops them, so the account is shared with their owners.
#[derive(Clone, Debug)]
pub struct SharedMemory(Arc<Mutex<MemoryAccount>>);

impl SharedMemory {
    /// Creates the account of a router on a VM with this much memory, in bytes.
    pub fn new(vm_bytes: u64) -> Self {
        Self(Arc::new(Mutex::new(MemoryAccount::new(vm_bytes))))
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
