//! Types that most modules of this crate use.

pub use std::cell::{Cell, RefCell};
pub use std::rc::Rc;
pub use std::time::Duration;

pub use bytes::Bytes;
pub use hyper::{HeaderMap, StatusCode};
pub use tokio::time::Instant;

pub use crate::clock::Clock;
pub use crate::gateway::Gateway;
pub use crate::metadata::{DispatchMetadata, RequestMetadata, ResponseMetadata};
pub use crate::refusal::Refusal;
pub use crate::route::{RequestKind, Route};
