//! Answers that are buffered until they are whole.

use bytes::BytesMut;
use derive_more::{Display, Error};

use crate::prelude::*;

/// An answer exceeds the memory for it.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer exceeds the memory for it")]
pub struct TooLarge;

/// Bytes of one answer, counted against the router's budget until they are taken or dropped.
pub struct AnswerBuffer<'a> {
    gw: &'a Gateway,
    bytes: BytesMut,
}

impl<'a> AnswerBuffer<'a> {
    /// Creates an empty buffer.
    pub fn new(gw: &'a Gateway) -> Self {
        Self {
            gw,
            bytes: BytesMut::new(),
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`TooLarge`] if there is no memory for them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        let (held, more) = (self.bytes.len() as u64, bytes.len() as u64);
        if !self.gw.answer_budget.borrow_mut().take(held, more) {
            return Err(TooLarge);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the bytes of a whole answer.
    pub fn take(mut self) -> Bytes {
        self.release();
        self.bytes.split().freeze()
    }

    fn release(&self) {
        let held = self.bytes.len() as u64;
        self.gw.answer_budget.borrow_mut().release(held);
    }
}

impl Drop for AnswerBuffer<'_> {
    fn drop(&mut self) {
        self.release();
    }
}
