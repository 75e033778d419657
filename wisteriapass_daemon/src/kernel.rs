//! Micro-kernel: holds the services of a process and finds them by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::{Display, Error};
use parking_lot::RwLock;

/// Result of finding a service.
pub type Result<T, E = KernelError> = std::result::Result<T, E>;

/// Why a service was not found.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KernelError {
    /// Nothing is registered under the name.
    #[display("no service named {name}; register it before those that need it")]
    #[error(ignore)]
    Missing {
        /// Name that was asked for.
        name: &'static str,
    },
    /// Something of another type is registered under the name.
    #[display("service {name} has another type; give each service a name of its own")]
    #[error(ignore)]
    OtherType {
        /// Name that was asked for.
        name: &'static str,
    },
}

/// A part of a process that others find by name.
pub trait Service: Send + Sync + 'static {
    /// Name under which the service is found.
    const NAME: &'static str;
}

/// Services of one process, by name.
#[derive(Default)]
pub struct Kernel {
    services: RwLock<BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under its name and returns it.
    pub fn register<S: Service>(&self, service: S) -> Arc<S> {
        let service = Arc::new(service);
        self.services.write().insert(S::NAME, service.clone());
        service
    }

    /// Finds a service by its name.
    ///
    /// # Errors
    ///
    /// [`KernelError`] if it is missing or of another type.
    pub fn find<S: Service>(&self) -> Result<Arc<S>> {
        let service = self.services.read().get(S::NAME).cloned();
        let service = service.ok_or(KernelError::Missing { name: S::NAME })?;
        service
            .downcast()
            .map_err(|_| KernelError::OtherType { name: S::NAME })
    }

    /// Returns the names of all services.
    pub fn names(&self) -> Vec<&'static str> {
        self.services.read().keys().copied().collect()
    }
}
