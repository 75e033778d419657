//! Buffers that count against the memory account until their last byte is dropped.

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use wisteriapass_policy::memory_account::Purpose;

use crate::held_memory::{HeldMemory, MemoryShort, SharedMemory};
use crate::prelude::*;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum ReadError {
    /// It broke off, or is malformed.
    Broken,
    /// It is larger than permitted.
    TooLarge,
    /// There is no memory for it.
    MemoryShort,
}

/// A buffer that grows as bytes arrive.
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: BytesMut,
    memory: HeldMemory,
}

/// A complete buffer and its memory.
struct HeldBytes {
    bytes: Bytes,
    _memory: HeldMemory,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBuffer {
    /// Creates an empty buffer.
    pub fn new(memory: &SharedMemory, purpose: Purpose) -> Self {
        Self {
            bytes: BytesMut::new(),
            memory: memory.hold_nothing(purpose),
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`MemoryShort`] if there is no memory for them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), MemoryShort> {
        let size = (self.bytes.len() + bytes.len()) as u64;
        self.memory.grow_to(size)?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the bytes, which hold their memory until they are dropped.
    pub fn take(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(HeldBytes {
            bytes: self.bytes.freeze(),
            _memory: self.memory,
        })
    }
}

/// Returns bytes that hold their memory until they are dropped.
///
/// # Errors
///
/// [`MemoryShort`] if there is no memory for them.
pub fn hold_bytes(
    memory: &SharedMemory,
    purpose: Purpose,
    bytes: Vec<u8>,
) -> Result<Bytes, MemoryShort> {
    let memory = memory.hold(purpose, bytes.len() as u64)?;
    Ok(Bytes::from_owner(HeldBytes {
        bytes: bytes.into(),
        _memory: memory,
    }))
}

/// Reads a body of at most `max_bytes` bytes. Memory for a body that states its length is taken
/// before any of it is read: with a part each, none of several bodies might ever be complete.
///
/// # Errors
///
/// [`ReadError`] if it is not complete, too large, or there is no memory for it.
pub async fn read_held(
    memory: &SharedMemory,
    purpose: Purpose,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<Bytes, ReadError> {
    let stated = body.size_hint().lower();
    if stated > max_bytes as u64 {
        return Err(ReadError::TooLarge);
    }
    let mut buffer = HeldBuffer::new(memory, purpose);
    let reserved = buffer.memory.grow_to(stated);
    reserved.map_err(|_| ReadError::MemoryShort)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        if buffer.bytes.len() + data.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        let pushed = buffer.push(data);
        pushed.map_err(|_| ReadError::MemoryShort)?;
    }
    Ok(buffer.take())
}
