//! HTTP server shared by the stand-ins: one thread per request, answers unbuffered on demand.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wisteriapass_daemon::http::{self, BoundAddress, Listener, Request, StreamWriter};

/// Largest request body a stand-in reads, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Longest time that a body may take to come, in seconds.
const BODY_S: u64 = 60;

/// Requests that never get an answer, and answers that never go on; they stay open until the
/// server stops.
type Held = Mutex<Vec<Box<dyn Send>>>;

/// What answers the calls of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call, on a thread of its own.
    fn handle(self: Arc<Self>, call: Call);
}

/// A running HTTP server; it stops when dropped.
pub struct HttpServer {
    addr: SocketAddr,
    listener: Option<Listener>,
    held: Arc<Held>,
}

impl HttpServer {
    /// Starts to listen and hands each call to `handler`.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn start<H: Handler>(listen: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = BoundAddress::bind(listen)?.listen()?;
        let addr = listener.address();
        let held = Arc::new(Held::default());
        let holds = Arc::clone(&held);
        http::serve(&listener, "stand-in", move |req| {
            if let Some(call) = Call::read(req, Arc::clone(&holds)) {
                Arc::clone(&handler).handle(call);
            }
        });
        Ok(Self {
            addr,
            listener: Some(listener),
            held,
        })
    }

    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until the server stops, which it does not by itself.
    pub fn wait(&mut self) {
        while self.listener.is_some() {
            std::thread::park();
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.stop();
        }
        self.held.lock().clear();
    }
}

/// One call: the request with its body read.
pub struct Call {
    req: Request,
    body: Vec<u8>,
    held: Arc<Held>,
}

impl Call {
    /// Reads the body; `None` if the client gave up.
    fn read(req: Request, held: Arc<Held>) -> Option<Self> {
        let deadline = Instant::now() + Duration::from_secs(BODY_S);
        let body = http::read_body(&req, MAX_BODY, deadline).ok()?;
        Some(Self { req, body, held })
    }

    /// Returns the method, in capitals.
    pub fn method(&self) -> String {
        self.req.method().to_string()
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        let url = self.req.url();
        url.split_once('?').map_or(url, |(path, _)| path)
    }

    /// Returns the path with its query.
    pub fn url(&self) -> &str {
        self.req.url()
    }

    /// Returns the value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.req.url().split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the value of a header, or nothing.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.req.header(name)
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// The parser's error, with line and column.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }

    /// Answers with JSON.
    pub fn answer<T: Serialize>(self, status: u16, value: &T) {
        self.answer_as(None, status, value);
    }

    /// Answers with JSON that names the request it belongs to.
    pub fn answer_as<T: Serialize>(self, request_id: Option<&str>, status: u16, value: &T) {
        let text = serde_json::to_vec(value).unwrap_or_default();
        let mut headers = vec![("content-type", "application/json")];
        headers.extend(request_id.map(|id| ("x-request-id", id)));
        self.req.respond(status, &headers, text);
    }

    /// Answers with an error message.
    pub fn refuse(self, status: u16, message: impl Into<String>) {
        let error = message.into();
        self.answer(status, &ErrorBody { error });
    }

    /// Closes the connection without an answer.
    pub fn close(self) {}

    /// Never answers, and keeps the connection open until the server stops.
    pub fn hold(self) {
        self.held.lock().push(Box::new(self.req));
    }

    /// Begins an answer that is written piece by piece.
    ///
    /// # Errors
    ///
    /// The connection's error if the client is gone.
    pub fn stream(self, content_type: &str, request_id: &str) -> io::Result<Stream> {
        let headers = [("content-type", content_type), ("x-request-id", request_id)];
        Ok(Stream {
            writer: StreamWriter::new(self.req, 200, &headers)?,
            held: self.held,
        })
    }
}

/// An answer in pieces, each of which leaves at once.
pub struct Stream {
    writer: StreamWriter,
    held: Arc<Held>,
}

impl Stream {
    /// Sends one piece.
    ///
    /// # Errors
    ///
    /// The connection's error if the client is gone.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        self.writer.send(piece)
    }

    /// Sends one server-sent event.
    ///
    /// # Errors
    ///
    /// The connection's error if the client is gone.
    pub fn send_event(&mut self, data: &str) -> io::Result<()> {
        self.send(format!("data: {data}\n\n").as_bytes())
    }

    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// The connection's error if the client is gone.
    pub fn finish(self) -> io::Result<()> {
        self.writer.finish()
    }

    /// Sends nothing more, and keeps the connection open until the server stops.
    pub fn hold(self) {
        self.held.lock().push(Box::new(self.writer));
    }
}

/// Body of a refused call.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}
