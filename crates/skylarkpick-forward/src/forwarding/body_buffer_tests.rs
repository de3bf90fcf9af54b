//! Tests of the memory of request bodies.

use super::body_buffer::{BodyBuffer, HEAP_LIMIT_BYTES};

const SIZE_LIMIT_BYTES: usize = 1_000_000;

// Guards against bytes that are lost or change places where a body grows or moves into a mapping, and against
// memory beyond the room that was asked for.
#[test]
fn a_body_keeps_its_bytes_and_its_room() {
    struct Case {
        name: &'static str,
        piece_bytes: usize,
        size_bytes: usize,
        is_announced: bool,
    }
    let whole = Case {
        name: "one piece",
        piece_bytes: SIZE_LIMIT_BYTES,
        size_bytes: SIZE_LIMIT_BYTES,
        is_announced: true,
    };
    let cases = [
        Case { name: "single bytes", piece_bytes: 1, size_bytes: 70_000, ..whole },
        Case { name: "up to the heap's limit", size_bytes: HEAP_LIMIT_BYTES, ..whole },
        Case { name: "a byte more", size_bytes: HEAP_LIMIT_BYTES + 1, ..whole },
        Case { name: "odd pieces", piece_bytes: 7_919, ..whole },
        Case {
            name: "odd pieces, not announced",
            piece_bytes: 7_919,
            is_announced: false,
            ..whole
        },
        Case {
            name: "large pieces, not announced",
            piece_bytes: 99_991,
            is_announced: false,
            ..whole
        },
        Case { name: "short, not announced", size_bytes: 10, is_announced: false, ..whole },
        whole,
    ];
    for Case { name, piece_bytes, size_bytes, is_announced } in cases {
        let content: Vec<u8> = (0..size_bytes).map(|index| (index % 251) as u8).collect();
        let announced_bytes = is_announced.then_some(size_bytes);
        let most_bytes = announced_bytes.unwrap_or(SIZE_LIMIT_BYTES);
        let mut buffer = BodyBuffer::empty();
        let mut room_bytes = 0;
        for piece in content.chunks(piece_bytes) {
            let missing_bytes =
                buffer.missing_room_bytes(piece.len(), announced_bytes, SIZE_LIMIT_BYTES);
            room_bytes += missing_bytes;
            buffer.add(piece, missing_bytes, most_bytes).unwrap();
            assert!(buffer.content().len() <= room_bytes, "{name}: more than its room");
            assert!(room_bytes <= most_bytes, "{name}: more room than the body may take");
        }
        assert_eq!(buffer.shrink(), size_bytes, "{name}: room of the complete body");
        assert!(buffer.content() == content, "{name}: the bytes differ");
    }
}
