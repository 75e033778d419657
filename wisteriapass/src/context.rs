//! Resources of a command: the key-value service, the daemons, input and output.

use std::io::Read;

use error_stack::Report;
use wisteriapass_coord::store::Store;

use crate::control::Control;
use crate::{Output, Result, ToolError};

/// Resources that a command uses.
pub struct Context<'a> {
    store: Option<&'a dyn Store>,
    /// Client for control calls to the daemons.
    pub control: &'a dyn Control,
    /// Output for results.
    pub out: Output<'a>,
    /// Standard input, which `digest` and `explain` read.
    pub input: Box<dyn Read + 'a>,
}

impl<'a> Context<'a> {
    /// Creates a context with a key-value service and a client for control calls.
    pub fn new(
        store: &'a dyn Store,
        control: &'a dyn Control,
        out: Output<'a>,
        input: impl Read + 'a,
    ) -> Self {
        Self {
            store: Some(store),
            control,
            out,
            input: Box::new(input),
        }
    }

    /// Removes the key-value service; commands that need it fail.
    pub fn without_store(mut self) -> Self {
        self.store = None;
        self
    }

    /// Returns the key-value service.
    ///
    /// # Errors
    ///
    /// [`ToolError::Usage`] if its address was not given.
    pub fn store(&self) -> Result<&'a dyn Store> {
        self.store.ok_or_else(|| {
            Report::new(ToolError::Usage {
                cause: "give --store IP:PORT or set WISTERIAPASS_STORE".into(),
            })
        })
    }
}
