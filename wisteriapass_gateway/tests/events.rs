//! Events are parsed completely, however the bytes are split.

use quickcheck_macros::quickcheck;
use wisteriapass_gateway::EventReader;

#[quickcheck]
fn events_do_not_depend_on_how_bytes_are_split(sizes: Vec<u8>, count: u8) -> bool {
    let text: String = (1..=u64::from(count))
        .map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize % 40)))
        .collect();
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

#[test]
fn an_unterminated_event_is_rejected() {
    let mut reader = EventReader::default();
    let unterminated = vec![b'x'; 1 << 20];
    assert!(!reader.push(&unterminated));
}
