//! HTTP server and clients on hyper and minreq: listeners, request bodies, and answers that are
//! streamed without buffering.

mod body;
mod chunk_stream;
mod frames;
mod handlers;
mod limited_answer;
mod line_stream;
mod listener;
mod request;
mod server;
mod stream_writer;

pub use body::{BodyError, read_body};
pub use chunk_stream::{StreamedRequest, stream_chunks};
pub use frames::{Frame, FrameReceiver, StreamError};
pub use limited_answer::{LimitedAnswer, send_limited};
pub use line_stream::stream_lines;
pub use listener::{BoundAddress, Listener, serve};
pub use request::Request;
pub use stream_writer::{BodyTruncated, StreamWriter, respond_and_close, respond_json};
