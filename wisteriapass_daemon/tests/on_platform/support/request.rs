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
}

impl Answer {
    /// Returns the event ids in the body.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Sends a request; returns `None` if no complete answer arrived.
pub fn exchange(port: u16, request: &str) -> Option<Answer> {
    exchange_within(port, request, WAIT_TIMEOUT)
}

/// Sends a request; returns `None` if no complete answer arrived, or a read took longer than
/// `read_timeout`.
pub fn exchange_within(port: u16, request: &str, read_timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_read_timeout(Some(read_timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_ascii_lowercase();
    let body = if head.contains("transfer-encoding: chunked") {
        decode_chunked(rest)?
    } else {
        rest.to_owned()
    };
    Some(Answer { status, head, body })
}

/// Decodes a chunked body; returns `None` if the body is truncated.
fn decode_chunked(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(after.get(..size)?);
        rest = after.get(size + 2..)?;
    }
}
