//! What a command works with: the key-value service, daemons, input and output.

use std::io::Read;

use error_stack::Report;
use wisteriapass_coord::store::Store;

use crate::control::Control;
use crate::{Output, Result, ToolError};

/// What a command works with.
pub struct Context<'a> {
    store: Option<&'a dyn Store>,
    /// How daemons are asked.
    pub control: &'a dyn Control,
    /// Where results go.
    pub out: Output<'a>,
    /// Where `digest` reads the key from.
    pub input: Box<dyn Read + 'a>,
}

impl<'a> Context<'a> {
    /// Creates a context around a key-value service and a way to ask daemons.
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

    /// Takes the key-value service away: only commands without it work.
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
