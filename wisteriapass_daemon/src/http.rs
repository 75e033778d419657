//! HTTP by hyper, minreq and ureq: listening, reading bodies, writing and reading streams unbuffered.

mod body;
mod frames;
mod handlers;
mod line_stream;
mod listener;
mod piece_stream;
mod request;
mod server;
mod stream_writer;

pub use body::{BodyError, read_body};
pub use frames::{Frame, FrameReceiver, StreamError};
pub use line_stream::stream_lines;
pub use listener::{BoundAddress, Listener, serve};
pub use piece_stream::{StreamedRequest, stream_chunks};
pub use request::Request;
pub use stream_writer::{BodyTruncated, StreamWriter, respond_and_close, respond_json};
