//! Requests of callers and their answers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::{KEY, WAIT_TIMEOUT};

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub key: String,
    pub tokens: Option<(u64, u64)>,
    pub remaining_ms: u64,
    pub extra_headers: String,
    pub body: String,
}

impl Request {
    /// Creates a request to a path with the default key.
    pub fn new(id: &str, path: &str) -> Self {
        Self {
            id: id.into(),
            path: path.into(),
            key: KEY.into(),
            tokens: None,
            remaining_ms: 6_000,
            extra_headers: String::new(),
            body: "body".into(),
        }
    }

    /// Sets the id.
    pub fn with_id(mut self, id: &str) -> Self {
        self.id = id.into();
        self
    }

    /// Makes it a model request with these token counts.
    pub fn with_tokens(mut self, prompt: u64, max_output: u64) -> Self {
        self.tokens = Some((prompt, max_output));
        self
    }

    /// Sets the time left until the caller's deadline, in milliseconds.
    pub fn with_remaining(mut self, ms: u64) -> Self {
        self.remaining_ms = ms;
        self
    }

    /// Adds header lines.
    pub fn with_headers(mut self, lines: &[&str]) -> Self {
        self.extra_headers = lines.iter().map(|line| format!("{line}\r\n")).collect();
        self
    }

    /// Sets the API key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = key.into();
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the request as HTTP text.
    pub fn text(&self) -> String {
        let tokens = self.tokens.map_or(String::new(), |(prompt, output)| {
            format!("X-Model-Name: m\r\nX-Token-Counts: {prompt},{output}\r\n")
        });
        format!(
            "POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\n\
             X-Deadline-Remaining: {}\r\nAuthorization: Bearer {}\r\n{tokens}{}\
             Connection: close\r\nContent-Length: {}\r\n\r\n{}",
            self.path,
            self.id,
            self.remaining_ms,
            self.key,
            self.extra_headers,
            self.body.len(),
            self.body
        )
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether a length or a last chunk marks the end, rather than the end of the connection.
    pub is_framed: bool,
}

impl Answer {
    /// Returns the event ids in the body.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// What arrived at a caller before its connection ended.
#[derive(Debug)]
pub struct Received {
    bytes: Vec<u8>,
    /// Whether the connection ended in order and in time.
    ended_in_order: bool,
}

impl Received {
    /// Creates it from the bytes that arrived.
    pub(super) fn new(bytes: Vec<u8>, ended_in_order: bool) -> Self {
        Self {
            bytes,
            ended_in_order,
        }
    }

    /// Returns everything that arrived.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    /// Returns the answer; `None` if it is incomplete.
    pub fn answer(&self) -> Option<Answer> {
        if !self.ended_in_order {
            return None;
        }
        let at = self.bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
        let (head, rest) = (&self.bytes[..at], &self.bytes[at + 4..]);
        let head = std::str::from_utf8(head).ok()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let head = head.to_ascii_lowercase();
        let length = header_value(&head, "content-length");
        let is_chunked = header_value(&head, "transfer-encoding") == Some("chunked");
        let body = match length {
            _ if is_chunked => decode_chunked(rest)?,
            Some(length) if length.parse() != Ok(rest.len()) => return None,
            _ => rest.to_vec(),
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        let is_framed = is_chunked || length.is_some();
        Some(Answer {
            status,
            head,
            body,
            is_framed,
        })
    }
}

/// Sends a request; returns `None` if no complete answer arrived.
pub fn exchange(port: u16, request: &str) -> Option<Answer> {
    exchange_within(port, request, WAIT_TIMEOUT)
}

/// Sends a request; returns `None` if no complete answer arrived, or a read took longer than
/// `read_timeout`.
pub fn exchange_within(port: u16, request: &str, read_timeout: Duration) -> Option<Answer> {
    receive_within(port, request, read_timeout)?.answer()
}

/// Sends a request and returns what arrives; `None` if it could not be sent.
pub fn receive(port: u16, request: &str) -> Option<Received> {
    receive_within(port, request, WAIT_TIMEOUT)
}

fn receive_within(port: u16, request: &str, read_timeout: Duration) -> Option<Received> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_read_timeout(Some(read_timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let ended_in_order = stream.read_to_end(&mut bytes).is_ok();
    Some(Received::new(bytes, ended_in_order))
}

/// Returns the value of a header in a head in lower case.
fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find_map(|(found, value)| (found == name).then_some(value.trim()))
}

/// Decodes a chunked body; returns `None` if the body is truncated or malformed.
fn decode_chunked(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let at = rest.windows(2).position(|w| w == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..at]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        let data = &rest[at + 2..];
        if size == 0 {
            return (data == b"\r\n").then_some(body);
        }
        body.extend_from_slice(data.get(..size)?);
        rest = data.get(size..)?.strip_prefix(b"\r\n")?;
    }
}
