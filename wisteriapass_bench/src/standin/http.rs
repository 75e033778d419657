//! HTTP server shared by the stand-ins: one thread per request, answers unbuffered on demand.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tiny_http::{Header, Request, Response};

/// Largest request body a stand-in reads, in bytes.
const MAX_BODY: u64 = 4 << 20;

/// Writers of answers that never come; they stay open until the server stops.
type Held = Mutex<Vec<Box<dyn Write + Send>>>;

/// What answers the calls of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call, on a thread of its own.
    fn handle(self: Arc<Self>, call: Call);
}

/// A running HTTP server; it stops when dropped.
pub struct HttpServer {
    addr: SocketAddr,
    server: Arc<tiny_http::Server>,
    acceptor: Option<JoinHandle<()>>,
    held: Arc<Held>,
}

impl HttpServer {
    /// Starts to listen and hands each call to `handler`.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn start<H: Handler>(listen: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        // Accepted connections inherit this; tiny_http sets nothing itself.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let addr = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let held = Arc::new(Held::default());
        let acceptor = {
            let server = Arc::clone(&server);
            let held = Arc::clone(&held);
            std::thread::spawn(move || accept(&server, &handler, &held))
        };
        Ok(Self {
            addr,
            server,
            acceptor: Some(acceptor),
            held,
        })
    }

    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until the server stops, which it does not by itself.
    pub fn wait(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.join().ok();
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.server.unblock();
        self.wait();
        self.held.lock().clear();
    }
}

/// Hands calls to the handler until the server is unblocked.
fn accept<H: Handler>(server: &tiny_http::Server, handler: &Arc<H>, held: &Arc<Held>) {
    while let Ok(req) = server.recv() {
        let handler = Arc::clone(handler);
        let held = Arc::clone(held);
        std::thread::spawn(move || {
            if let Some(call) = Call::read(req, held) {
                handler.handle(call);
            }
        });
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
    fn read(mut req: Request, held: Arc<Held>) -> Option<Self> {
        let mut body = Vec::new();
        let mut limited = io::Read::take(req.as_reader(), MAX_BODY);
        io::Read::read_to_end(&mut limited, &mut body).ok()?;
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
        self.req
            .headers()
            .iter()
            .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|h| h.value.as_str())
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
        let mut response = Response::from_data(text).with_status_code(status);
        response.add_header(header("content-type", "application/json"));
        if let Some(id) = request_id {
            response.add_header(header("x-request-id", id));
        }
        self.req.respond(response).ok();
    }

    /// Answers with an error message.
    pub fn refuse(self, status: u16, message: impl Into<String>) {
        let error = message.into();
        self.answer(status, &ErrorBody { error });
    }

    /// Closes the connection without an answer, if the client asked for `connection: close`.
    pub fn close(self) {
        drop(self.req.into_writer());
    }

    /// Never answers, and keeps the connection open until the server stops.
    pub fn hold(self) {
        let writer = self.req.into_writer();
        self.held.lock().push(writer);
    }

    /// Begins an answer that is written piece by piece.
    ///
    /// # Errors
    ///
    /// The connection's error if the client is gone.
    pub fn stream(self, content_type: &str, request_id: &str) -> io::Result<Stream> {
        let mut writer = self.req.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\nx-request-id: {request_id}\r\n\
             transfer-encoding: chunked\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(Stream {
            writer,
            held: self.held,
        })
    }
}

/// An answer in pieces, each of which leaves at once.
pub struct Stream {
    writer: Box<dyn Write + Send>,
    held: Arc<Held>,
}

impl Stream {
    /// Sends one piece.
    ///
    /// # Errors
    ///
    /// The connection's error if the client is gone.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        let mut buf = format!("{:x}\r\n", piece.len()).into_bytes();
        buf.extend_from_slice(piece);
        buf.extend_from_slice(b"\r\n");
        self.writer.write_all(&buf)?;
        self.writer.flush()
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
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    /// Sends nothing more, and keeps the connection open until the server stops.
    pub fn hold(self) {
        self.held.lock().push(self.writer);
    }
}

/// Body of a refused call.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// Builds a header from a name and a value; a value that no header may hold becomes empty.
fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value)
        .or_else(|()| Header::from_bytes(name, ""))
        .expect("header names are constants of this crate")
}
