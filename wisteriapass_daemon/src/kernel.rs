//! Microkernel: a registry of the services of a process, looked up by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::{Display, Error};
use parking_lot::RwLock;

/// Result of a service lookup.
pub type Result<T, E = KernelError> = std::result::Result<T, E>;

/// Reason why a service lookup failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KernelError {
    /// No service is registered under the name.
    #[display("no service named {name}; register it before those that need it")]
    #[error(ignore)]
    Missing {
        /// Requested name.
        name: &'static str,
    },
    /// A service of another type is registered under the name.
    #[display("service {name} has another type; give each service a name of its own")]
    #[error(ignore)]
    OtherType {
        /// Requested name.
        name: &'static str,
    },
}

/// A component of a process that other components look up by name.
pub trait Service: Send + Sync + 'static {
    /// Name under which the service is registered.
    const NAME: &'static str;
}

/// Registry of the services of one process.
#[derive(Default)]
pub struct Kernel {
    services: RwLock<BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl Kernel {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under its name and returns it.
    pub fn register<S: Service>(&self, service: S) -> Arc<S> {
        let service = Arc::new(service);
        self.services.write().insert(S::NAME, service.clone());
        service
    }

    /// Looks up a service by its name.
    ///
    /// # Errors
    ///
    /// [`KernelError`] if it is missing or has another type.
    pub fn find<S: Service>(&self) -> Result<Arc<S>> {
        let service = self.services.read().get(S::NAME).cloned();
        let service = service.ok_or(KernelError::Missing { name: S::NAME })?;
        service
            .downcast()
            .map_err(|_| KernelError::OtherType { name: S::NAME })
    }

    /// Returns the names of all registered services.
    pub fn names(&self) -> Vec<&'static str> {
        self.services.read().keys().copied().collect()
    }
}
