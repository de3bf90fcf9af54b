//! Tests of reading bodies within the limits of a body and of all bodies together.

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use skylarkpick_http::{BodyStart, BufferBudget, read_body_start};
use std::convert::Infallible;

fn body(
    parts: &'static [&'static str],
) -> StreamBody<impl futures::Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin> {
    let frames = parts.iter().map(|part| Ok(Frame::data(Bytes::from_static(part.as_bytes()))));
    StreamBody::new(stream::iter(frames))
}

#[tokio::test]
async fn a_body_is_read_until_a_limit_is_exceeded() {
    struct Case {
        name: &'static str,
        parts: &'static [&'static str],
        size_limit_bytes: usize,
        free_bytes: usize,
        content: &'static str,
        is_complete: bool,
    }
    // A buffer takes 8 bytes at first, and twice as many whenever it is full.
    let cases = [
        Case {
            name: "empty",
            parts: &[],
            size_limit_bytes: 0,
            free_bytes: 0,
            content: "",
            is_complete: true,
        },
        Case {
            name: "exactly the limits",
            parts: &["ab", "cd"],
            size_limit_bytes: 4,
            free_bytes: 8,
            content: "abcd",
            is_complete: true,
        },
        Case {
            name: "above its own limit",
            parts: &["ab", "cd", "ef"],
            size_limit_bytes: 3,
            free_bytes: 100,
            content: "abcd",
            is_complete: false,
        },
        Case {
            name: "above the common limit",
            parts: &["abcd", "efghi", "j"],
            size_limit_bytes: 100,
            free_bytes: 9,
            content: "abcdefghi",
            is_complete: false,
        },
    ];
    for case in cases {
        let budget = BufferBudget::open(case.free_bytes);
        let mut share = budget.share();
        let start = read_body_start(&mut body(case.parts), case.size_limit_bytes, &mut share).await;
        let expected =
            BodyStart { content: Bytes::from(case.content), is_complete: case.is_complete };
        assert_eq!(start, Ok(expected), "{}", case.name);
        drop(share);
        assert!(budget.share().grow(case.free_bytes), "{}: all bytes are given back", case.name);
    }
}

#[test]
fn bodies_share_one_budget() {
    let budget = BufferBudget::open(10);
    let (mut first, mut second) = (budget.share(), budget.clone().share());
    assert!(first.grow(6));
    assert!(!second.grow(5));
    assert!(second.grow(4));
    let content = first.hold(Bytes::from_static(b"abcdef"));
    let copy = content.clone();
    drop(content);
    assert!(!second.grow(1), "a copy of the content is left");
    drop(copy);
    assert!(second.grow(6));
}

#[test]
fn the_allowance_of_a_body_does_not_count() {
    let budget = BufferBudget::open(10);
    let mut greedy = budget.share();
    assert!(greedy.grow(10));
    let mut short = budget.share_after(5);
    assert!(short.grow(3));
    assert!(!short.grow(3), "only two bytes of the allowance are left");
    assert!(short.grow(2));
    drop((short, greedy));
    assert!(budget.share().grow(10));
}
