//! HTTP by tiny_http, minreq and ureq: listening, reading bodies, writing and reading streams unbuffered.

mod body;
mod frames;
mod headers;
mod line_stream;
mod listener;
mod piece_stream;
mod stream_writer;

pub use body::{BodyError, read_body};
pub use frames::{Frame, Frames, StreamError};
pub use headers::header;
pub use line_stream::lines;
pub use listener::{Listener, Reserved, serve};
pub use piece_stream::{PieceRequest, pieces};
pub use stream_writer::{StreamWriter, respond_and_close, respond_json};
