//! HTTP by tiny_http and minreq: listening, reading bodies, writing and reading streams unbuffered.

mod body;
mod headers;
mod line_stream;
mod listener;
mod stream_writer;

pub use body::{BodyError, read_body};
pub use headers::header;
pub use line_stream::{Frame, LineStream, StreamError};
pub use listener::{Listener, Reserved, serve};
pub use stream_writer::{StreamWriter, respond_and_close, respond_json};
