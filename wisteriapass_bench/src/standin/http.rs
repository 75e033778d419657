//! HTTP server shared by the stand-ins: one thread per request, and answers that can be streamed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wisteriapass_daemon::http::{self, BoundAddress, Listener, Request, StreamWriter};

/// Largest request body that a stand-in accepts, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time within which a request body must arrive, in seconds.
const BODY_TIMEOUT_S: u64 = 60;

/// Unanswered requests and unfinished answers whose connections stay open until the server stops.
type OpenExchanges = Mutex<Vec<Box<dyn Send>>>;

/// Answers the calls that a server receives.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call, on a separate thread.
    fn handle(self: Arc<Self>, call: Call);
}

/// A running HTTP server, which stops when dropped.
pub struct HttpServer {
    addr: SocketAddr,
    listener: Option<Listener>,
    open_exchanges: Arc<OpenExchanges>,
}

impl HttpServer {
    /// Starts listening and passes each call to `handler`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn start<H: Handler>(listen: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = BoundAddress::bind(listen)?.listen()?;
        let addr = listener.address();
        let open_exchanges = Arc::new(OpenExchanges::default());
        let kept_open = Arc::clone(&open_exchanges);
        http::serve(&listener, "stand-in", move |req| {
            if let Some(call) = Call::read(req, Arc::clone(&kept_open)) {
                Arc::clone(&handler).handle(call);
            }
        });
        Ok(Self {
            addr,
            listener: Some(listener),
            open_exchanges,
        })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Blocks the calling thread forever.
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
        self.open_exchanges.lock().clear();
    }
}

/// A request whose body has been read.
pub struct Call {
    req: Request,
    body: Vec<u8>,
    open_exchanges: Arc<OpenExchanges>,
}

impl Call {
    /// Reads the body, or returns `None` if it does not arrive whole within the limits.
    fn read(req: Request, open_exchanges: Arc<OpenExchanges>) -> Option<Self> {
        let deadline = Instant::now() + Duration::from_secs(BODY_TIMEOUT_S);
        let body = http::read_body(&req, MAX_BODY_BYTES, deadline).ok()?;
        Some(Self {
            req,
            body,
            open_exchanges,
        })
    }

    /// Returns the method, in upper case.
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

    /// Returns the value of a query parameter with its percent-encoding removed.
    pub fn decoded_query(&self, name: &str) -> Option<String> {
        let value = percent_decode_str(self.query(name)?).decode_utf8();
        value.ok().map(Into::into)
    }

    /// Returns the value of a header, if the request has it.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.req.header(name)
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the parser's error, with line and column.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }

    /// Answers with JSON.
    pub fn answer<T: Serialize>(self, status: u16, value: &T) {
        self.answer_with_id(None, status, value);
    }

    /// Answers with JSON and, if given, the id of the request that the answer belongs to.
    pub fn answer_with_id<T: Serialize>(self, request_id: Option<&str>, status: u16, value: &T) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let mut headers = vec![("content-type", "application/json")];
        headers.extend(request_id.map(|id| ("x-request-id", id)));
        self.req.respond(status, &headers, body);
    }

    /// Answers with an error message.
    pub fn answer_error(self, status: u16, message: impl Into<String>) {
        let error = message.into();
        self.answer(status, &ErrorBody { error });
    }

    /// Closes the connection without an answer.
    pub fn close(self) {}

    /// Leaves the request unanswered and the connection open until the server stops.
    pub fn leave_open(self) {
        self.open_exchanges.lock().push(Box::new(self.req));
    }

    /// Starts an answer that is sent in chunks.
    ///
    /// # Errors
    ///
    /// Returns the connection's error if the client has disconnected.
    pub fn stream(self, content_type: &str, request_id: &str) -> io::Result<Stream> {
        let headers = [("content-type", content_type), ("x-request-id", request_id)];
        Ok(Stream {
            writer: StreamWriter::new(self.req, 200, &headers)?,
            open_exchanges: self.open_exchanges,
        })
    }
}

/// An answer in chunks, each of which is sent without buffering.
pub struct Stream {
    writer: StreamWriter,
    open_exchanges: Arc<OpenExchanges>,
}

impl Stream {
    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// Returns the connection's error if the client has disconnected.
    pub fn send(&mut self, chunk: &[u8]) -> io::Result<()> {
        self.writer.send(chunk)
    }

    /// Sends one server-sent event.
    ///
    /// # Errors
    ///
    /// Returns the connection's error if the client has disconnected.
    pub fn send_event(&mut self, data: &str) -> io::Result<()> {
        self.send(format!("data: {data}\n\n").as_bytes())
    }

    /// Finishes the answer.
    ///
    /// # Errors
    ///
    /// Returns the connection's error if the client has disconnected.
    pub fn finish(self) -> io::Result<()> {
        self.writer.finish()
    }

    /// Leaves the answer unfinished and the connection open until the server stops.
    pub fn leave_open(self) {
        self.open_exchanges.lock().push(Box::new(self.writer));
    }
}

/// Body of an error answer.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}
