//! Event streams split at the ends of their events.

use hawthornrack_entry::EventSplitter;
use rstest::rstest;

const STREAM: &str =
    "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

#[rstest]
fn test_sse_passes_all_bytes_on_unchanged(#[values(1, 2, 3, 7, 100)] size: usize) {
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    for chunk in STREAM.as_bytes().chunks(size) {
        if let Some(events) = splitter.push(chunk).unwrap() {
            passed.extend_from_slice(&events);
        }
    }
    assert_eq!(passed, STREAM.as_bytes());
    assert_eq!(splitter.last_id(), Some(3));
    assert!(!splitter.has_rest());
}

#[test]
fn test_sse_keeps_back_an_event_that_is_not_whole() {
    let mut splitter = EventSplitter::default();
    let events = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
        .unwrap();
    assert_eq!(events.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.last_id(), Some(1));
    assert!(splitter.has_rest());
    splitter.drop_rest();
    assert!(!splitter.has_rest());
}

#[test]
fn test_sse_refuses_an_event_without_end() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 300 * 1024];
    let results: Vec<_> = (0..4).map(|_| splitter.push(&chunk).is_ok()).collect();
    assert_eq!(results, [true, true, true, false]);
}
