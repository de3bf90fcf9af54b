//! Tests of splitting a streamed response into lines.

use skylarkpick_http::LineSplitter;

#[test]
fn chunks_are_split_into_lines_wherever_they_end() {
    struct Case {
        name: &'static str,
        chunks: &'static [&'static str],
        lines: &'static [&'static str],
    }
    let cases = [
        Case { name: "nothing", chunks: &[""], lines: &[] },
        Case { name: "one line", chunks: &["one\n"], lines: &["one"] },
        Case { name: "several lines in a chunk", chunks: &["a\n\nb\nc"], lines: &["a", "", "b"] },
        Case { name: "a line in several chunks", chunks: &["a", "b", "c\nd"], lines: &["abc"] },
        Case {
            name: "an end of its own",
            chunks: &["ab", "\n", "\n", "c\n"],
            lines: &["ab", "", "c"],
        },
    ];
    for case in cases {
        let mut splitter = LineSplitter::default();
        let mut lines = Vec::new();
        for chunk in case.chunks {
            assert!(splitter.push(chunk.as_bytes()), "{}", case.name);
            lines.extend(splitter.by_ref().map(|line| String::from_utf8(line.to_vec()).unwrap()));
        }
        assert_eq!(lines, case.lines, "{}", case.name);
    }
}

#[test]
fn only_an_incomplete_line_can_be_too_long() {
    const LIMIT_BYTES: usize = 1_048_576;
    let mut splitter = LineSplitter::default();
    assert!(splitter.push(&vec![b'a'; LIMIT_BYTES]));
    assert!(!splitter.push(b"a"));
    assert!(splitter.push(b"\n"));
    assert_eq!(splitter.next().map(|line| line.len()), Some(LIMIT_BYTES + 1));
    assert_eq!(splitter.next(), None);
}
