//! Writing answers, streams without buffering.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use flume::{Receiver, Sender};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::Request;
use super::request::AnswerBody;

/// Pieces of an answer that may wait for the connection.
const PIECES_AHEAD: usize = 16;

/// Longest time that a piece waits for a caller that does not read, in seconds.
const SEND_TIMEOUT_S: u64 = 10;

/// A body that broke off before its end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the body was cut")]
pub struct BodyTruncated;

/// What comes next of an answer.
enum Piece {
    /// Bytes.
    Data(Bytes),
    /// Its end; an answer whose writer is gone without it is cut.
    End,
}

/// Answers a request with JSON and a status.
pub fn respond_json(req: Request, status: u16, body: String, extra: &[(&str, String)]) {
    let mut headers = vec![("content-type", "application/json")];
    headers.extend(extra.iter().map(|(name, value)| (*name, value.as_str())));
    req.respond(status, &headers, body);
}

/// Answers a request with JSON and closes its connection, so that the caller's next request goes
/// to another router.
pub fn respond_and_close(req: Request, status: u16, body: String, extra: &[(&str, String)]) {
    let mut headers = extra.to_vec();
    headers.push(("connection", "close".to_owned()));
    respond_json(req, status, body, &headers);
}

/// An answer whose every piece leaves at once; dropped before its end, it is cut.
pub struct StreamWriter {
    pieces: Sender<Piece>,
}

impl StreamWriter {
    /// Sends the head of a streamed answer.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::BrokenPipe`] if the caller went away.
    pub fn new(req: Request, status: u16, headers: &[(&str, &str)]) -> io::Result<Self> {
        let (pieces, rx) = flume::bounded(PIECES_AHEAD);
        if !req.reply(status, headers, body_of(rx)) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(Self { pieces })
    }

    /// Sends one piece.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::BrokenPipe`] if the caller went away or does not read.
    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            return Ok(());
        }
        self.put(Piece::Data(Bytes::copy_from_slice(data)))
    }

    /// Ends the answer so that the caller sees it was cut.
    pub fn abort(self) {}

    /// Ends the answer; it is whole.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::BrokenPipe`] if the caller went away or does not read.
    pub fn finish(self) -> io::Result<()> {
        self.put(Piece::End)
    }

    fn put(&self, piece: Piece) -> io::Result<()> {
        let patience = Duration::from_secs(SEND_TIMEOUT_S);
        self.pieces
            .send_timeout(piece, patience)
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

/// Makes a body of the pieces that come.
fn body_of(pieces: Receiver<Piece>) -> AnswerBody {
    let frames = stream::unfold(Some(pieces), |pieces| async {
        let pieces = pieces?;
        match pieces.recv_async().await {
            Ok(Piece::Data(data)) => Some((Ok(Frame::data(data)), Some(pieces))),
            Ok(Piece::End) => None,
            Err(_) => {
                // What came before leaves the connection's buffer first.
                tokio::task::yield_now().await;
                Some((Err(BodyTruncated), None))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
