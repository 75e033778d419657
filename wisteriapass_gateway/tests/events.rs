//! Events are parsed completely, however the bytes are split.

use bytes::Bytes;
use quickcheck_macros::quickcheck;
use wisteriapass_gateway::{Event, EventReader};

/// Line ends that a stream may use.
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Reads a complete text; returns the ids of its events.
fn read(reader: &mut EventReader, text: &str) -> Vec<u64> {
    assert!(reader.push(text.as_bytes()));
    let events = std::iter::from_fn(|| reader.next_event());
    events.filter_map(|event| event.id).collect()
}

/// Returns whether a stream ended inside an event.
fn ends_inside_event(text: &str) -> bool {
    let mut reader = EventReader::default();
    read(&mut reader, text);
    reader.is_inside_event()
}

#[quickcheck]
fn events_do_not_depend_on_how_bytes_are_split(sizes: Vec<u8>, count: u8, line_end: u8) -> bool {
    let line_end = LINE_ENDS[usize::from(line_end) % LINE_ENDS.len()];
    let text: String = (1..=u64::from(count))
        .map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize % 40)))
        .collect();
    let text = text.replace('\n', line_end);
    let mut reader = EventReader::default();
    let (mut rest, mut ids, mut joined) = (text.as_bytes(), Vec::new(), Vec::new());
    for size in sizes.iter().chain([&255; 64]) {
        let (now, later) = rest.split_at(usize::from(*size).min(rest.len()));
        rest = later;
        assert!(reader.push(now));
        while let Some(event) = reader.next_event() {
            ids.extend(event.id);
            joined.extend_from_slice(&event.bytes);
        }
    }
    let consumed = text.len() - rest.len();
    joined.extend_from_slice(&reader.rest());
    joined == text.as_bytes()[..consumed] && ids.iter().copied().eq(1..=ids.len() as u64)
}

#[quickcheck]
fn a_stream_ends_inside_an_event_unless_it_ends_behind_one(length: usize, line_end: u8) -> bool {
    let line_end = LINE_ENDS[usize::from(line_end) % LINE_ENDS.len()];
    let event = "id: 1\ndata: one\n\n".replace('\n', line_end);
    let cut = length % (event.len() + 1);
    let missing = &event[cut..];
    // CR ends a line, whether or not LF follows.
    let is_whole = missing.is_empty() || (missing == "\n" && line_end == "\r\n");
    ends_inside_event(&event[..cut]) == (cut > 0 && !is_whole)
}

// A client may resume behind any id.
#[test]
fn no_event_follows_the_highest_id() {
    let event = |id| Event {
        bytes: Bytes::new(),
        id: Some(id),
    };
    assert!(event(u64::MAX).follows(Some(u64::MAX - 1)));
    for id in [0, 1, u64::MAX] {
        assert!(!event(id).follows(Some(u64::MAX)), "{id}");
    }
}

#[test]
fn lines_may_end_with_cr_lf_or_both() {
    for line_end in LINE_ENDS {
        let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: end\n".replace('\n', line_end);
        assert_eq!(
            read(&mut EventReader::default(), &text),
            [1, 2],
            "{line_end:?}"
        );
    }
}

#[test]
fn comments_and_blank_lines_behind_the_last_event_are_not_inside_an_event() {
    for rest in [
        "",
        "\n",
        "\r\n\n",
        ": bye",
        ": bye\n",
        ": bye\r\n\r\n",
        "\n: bye\n\n",
    ] {
        assert!(!ends_inside_event(&format!("id: 1\n\n{rest}")), "{rest:?}");
    }
    for rest in [
        "i",
        "id: 2",
        "id: 2\n",
        "data: x\r\n",
        ": bye\ndata",
        "\ndata: x\n",
    ] {
        assert!(ends_inside_event(&format!("id: 1\n\n{rest}")), "{rest:?}");
    }
}

#[test]
fn an_unterminated_event_is_rejected() {
    let mut reader = EventReader::default();
    let unterminated = vec![b'x'; 1 << 20];
    assert!(!reader.push(&unterminated));
}
