//! Reading the whole body of a plain answer.

use derive_more::From;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use wisteriapass_policy::memory_account::Purpose;

use crate::dispatch::{TargetConnection, is_connection_error};
use crate::held_buffer::HeldBuffer;
use crate::held_memory::MemoryShort;
use crate::overrun::Overrun;
use crate::prelude::*;

/// Why a body was not read to its end.
#[derive(Debug, From)]
pub(super) enum BodyError {
    /// It broke off, or is malformed.
    Broken(hyper::Error),
    /// It exceeds the memory for it.
    TooLarge(MemoryShort),
}

impl BodyError {
    /// Returns the part of the answer whose limit it exceeds, if so.
    pub(super) fn overrun(&self) -> Option<Overrun> {
        match self {
            Self::Broken(e) => Overrun::of(e),
            Self::TooLarge(_) => Some(Overrun::Body),
        }
    }

    /// Returns whether the connection ended.
    pub(super) fn is_connection_error(&self) -> bool {
        match self {
            Self::Broken(e) => is_connection_error(e),
            Self::TooLarge(_) => false,
        }
    }
}

/// Reads a body to its end.
pub(super) async fn read_whole_body(
    gw: &Gateway,
    mut body: Incoming,
    connection: &mut TargetConnection,
) -> Result<Bytes, BodyError> {
    let mut buffer = HeldBuffer::new(&gw.memory, Purpose::Answer);
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        connection.record_received();
        buffer.push(frame.data_ref().map_or(&[], |data| data))?;
    }
    Ok(buffer.take())
}
