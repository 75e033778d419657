//! Frames of a streamed answer.

use std::time::{Duration, Instant};

use wisteriapass_daemon::http::{Frame, FrameReceiver, StreamError};

#[test]
fn an_answer_whose_reader_ended_without_a_last_frame_is_broken() {
    let frames = FrameReceiver::new(|tx| tx.send(Ok(Frame::Bytes(b"part".to_vec()))).unwrap());
    let deadline = Instant::now() + Duration::from_secs(20);
    assert_eq!(frames.next(deadline), Ok(Frame::Bytes(b"part".to_vec())));
    let end = frames.next(deadline);
    assert!(matches!(end, Err(StreamError::Broken { .. })), "{end:?}");
}
