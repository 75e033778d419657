//! Writing answers, streams without buffering.

use std::io::{self, Write};

use tiny_http::{HTTPVersion, Header, Method, Request, Response};

/// Answers a request with JSON and a status.
pub fn respond_json(req: Request, status: u16, body: String, extra: &[(&str, String)]) {
    let mut response = Response::from_string(body).with_status_code(status);
    let json = ("content-type", "application/json".to_owned());
    for (name, value) in extra.iter().chain([&json]) {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    // A caller that went away needs no answer.
    let _ = req.respond(response);
}

/// Answers a request with JSON and asks the caller to close its connection, so that its next
/// request goes to another router. tiny_http drops that header from its own responses.
pub fn respond_and_close(req: Request, status: u16, body: &str, extra: &[(&str, String)]) {
    let mut headers = vec![
        ("content-type", "application/json"),
        ("connection", "close"),
    ];
    headers.extend(extra.iter().map(|(name, value)| (*name, value.as_str())));
    // A caller that went away needs no answer.
    let _ = StreamWriter::new(req, status, &headers).and_then(|mut out| {
        out.send(body.as_bytes())?;
        out.finish()
    });
}

/// A chunked answer whose every piece is flushed at once.
///
/// tiny_http's own `Response` buffers a stream until its end, so the head and the chunks are
/// written by hand.
pub struct StreamWriter {
    out: Box<dyn Write + Send>,
    framing: Framing,
    piece: Vec<u8>,
}

/// How the end of the body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// In chunks, the last one empty.
    Chunked,
    /// By the end of the connection, for callers that speak HTTP/1.0.
    Closed,
    /// There is no body.
    None,
}

impl Framing {
    fn of(req: &Request, status: u16) -> Self {
        let bodiless = matches!(status, 100..=199 | 204 | 304);
        if bodiless || *req.method() == Method::Head {
            return Self::None;
        }
        if *req.http_version() < HTTPVersion(1, 1) {
            return Self::Closed;
        }
        Self::Chunked
    }
}

impl StreamWriter {
    /// Sends the head of a streamed answer.
    ///
    /// # Errors
    ///
    /// The system's error if the caller went away.
    pub fn new(req: Request, status: u16, headers: &[(&str, &str)]) -> io::Result<Self> {
        let framing = Framing::of(&req, status);
        let mut out = req.into_writer();
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(match framing {
            Framing::Chunked => "transfer-encoding: chunked\r\n\r\n",
            Framing::Closed => "connection: close\r\n\r\n",
            Framing::None => "\r\n",
        });
        out.write_all(head.as_bytes())?;
        out.flush()?;
        Ok(Self {
            out,
            framing,
            piece: Vec::new(),
        })
    }

    /// Sends one piece and flushes it.
    ///
    /// # Errors
    ///
    /// The system's error if the caller went away.
    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() || self.framing == Framing::None {
            return Ok(());
        }
        if self.framing == Framing::Closed {
            self.out.write_all(data)?;
            return self.out.flush();
        }
        self.piece.clear();
        write!(self.piece, "{:x}\r\n", data.len())?;
        self.piece.extend_from_slice(data);
        self.piece.extend_from_slice(b"\r\n");
        self.out.write_all(&self.piece)?;
        self.out.flush()
    }

    /// Ends the answer so that the caller sees it was cut.
    ///
    /// tiny_http keeps the connection open, so that a caller would wait for the next chunk; one
    /// whose size cannot be read ends the wait.
    pub fn cut(mut self) {
        if self.framing == Framing::Chunked {
            // A caller that went away needs no sign.
            let _ = self
                .out
                .write_all(b"cut\r\n\r\n")
                .and_then(|()| self.out.flush());
        }
    }

    /// Ends the answer; it is whole.
    ///
    /// # Errors
    ///
    /// The system's error if the caller went away.
    pub fn finish(mut self) -> io::Result<()> {
        if self.framing == Framing::Chunked {
            self.out.write_all(b"0\r\n\r\n")?;
        }
        self.out.flush()
    }
}

/// Returns the reason phrase of a status.
fn reason(status: u16) -> &'static str {
    tiny_http::StatusCode(status).default_reason_phrase()
}
