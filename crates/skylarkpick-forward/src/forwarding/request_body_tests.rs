//! Tests of reading request bodies within the room of a process, in virtual time, and of bodies that are
//! sent in pieces.

use super::{
    piecewise_body::PiecewiseBody,
    request_body::{BodyBudget, Kept, RequestBodyError},
};
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use skylarkpick_http::ReadBodyError;
use skylarkpick_schedule::{BodyLimits, BodyUse, NoRoom};
use std::{convert::Infallible, time::Duration};

/// A machine whose bodies have 8 MiB, large ones 6 MiB of it.
const MEMORY_BYTES: usize = 40_000_000;
const MIB: usize = 1_048_576;
const SIZE_LIMIT_BYTES: usize = 4 * MIB;

/// Returns a body that sends pieces of this size at intervals, and then `stall`s or ends.
fn body(
    piece_bytes: usize,
    pieces: usize,
    interval: Duration,
    stall: bool,
) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let piece = Bytes::from(vec![b'b'; piece_bytes]);
    let frames = stream::iter(0..pieces).then(move |_| {
        let piece = piece.clone();
        async move {
            tokio::time::sleep(interval).await;
            Ok(Frame::data(piece))
        }
    });
    let rest = if stall { stream::pending().left_stream() } else { stream::empty().right_stream() };
    StreamBody::new(Box::pin(frames.chain(rest)))
}

// Guards against a fixed time for bodies of any size, bodies without a bound and stalled bodies that
// stay, and against room that is not given back.
#[tokio::test(start_paused = true)]
async fn a_body_is_read_within_its_limits() {
    struct Case {
        name: &'static str,
        memory_bytes: usize,
        piece_bytes: usize,
        pieces: usize,
        interval_ms: u64,
        stalls: bool,
        end: Result<usize, &'static str>,
    }
    let whole = Case {
        name: "greatest size at 5 Mbit/s",
        memory_bytes: MEMORY_BYTES,
        piece_bytes: 65_536,
        pieces: 64,
        interval_ms: 105,
        stalls: false,
        end: Ok(SIZE_LIMIT_BYTES),
    };
    let cases = [
        Case { name: "one byte", piece_bytes: 1, pieces: 1, end: Ok(1), ..whole },
        Case {
            name: "tiny pieces",
            piece_bytes: 1,
            pieces: 5_000,
            interval_ms: 0,
            end: Ok(5_000),
            ..whole
        },
        Case { name: "a byte too many", pieces: 65, end: Err("too_large"), ..whole },
        Case { name: "all but the end", stalls: true, end: Err("too_slow"), ..whole },
        Case {
            name: "a byte a second",
            piece_bytes: 1,
            interval_ms: 1_000,
            end: Err("too_slow"),
            ..whole
        },
        Case { name: "a large machine", memory_bytes: 25 * MEMORY_BYTES, ..whole },
        whole,
    ];
    for case in cases {
        let budget = BodyBudget::open(BodyLimits::of_memory(case.memory_bytes));
        let interval = Duration::from_millis(case.interval_ms);
        let body = body(case.piece_bytes, case.pieces, interval, case.stalls);
        let end = budget.read(body, SIZE_LIMIT_BYTES, Kept::Content, None).await;
        let seen = match &end {
            Ok(content) => Ok(content.len()),
            Err(RequestBodyError::Unread(ReadBodyError::TooLarge(_))) => Err("too_large"),
            Err(RequestBodyError::Unread(ReadBodyError::TooSlow(_))) => Err("too_slow"),
            Err(_) => Err("other"),
        };
        assert_eq!(seen, case.end, "{}", case.name);
        if let Ok(content) = end {
            let copy = content.clone();
            drop(content);
            assert_eq!(budget.use_bytes().kept_bytes, copy.len(), "{}", case.name);
        }
        assert_eq!(budget.use_bytes(), BodyUse::default(), "{}", case.name);
    }
}

// Guards against requests that find no room because stalled bodies keep it, and against bodies that end
// others which arrive at their pace.
#[tokio::test(start_paused = true)]
async fn a_stalled_body_loses_its_room_to_one_that_needs_it() {
    let budget = BodyBudget::open(BodyLimits::of_memory(MEMORY_BYTES));
    let quick = Duration::from_millis(1);
    let read = |pieces, interval, stall| {
        let budget = budget.clone();
        let body = body(65_536, pieces, interval, stall);
        tokio::spawn(async move { budget.read(body, SIZE_LIMIT_BYTES, Kept::Content, None).await })
    };
    let stalled = read(60, quick, true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let refused = read(60, quick, false).await.unwrap();
    assert_eq!(refused, Err(NoRoom.into()), "the other may still go on");
    let short = read(1, quick, false).await.unwrap();
    assert!(short.is_ok(), "short bodies have room");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let served = read(60, quick, false).await.unwrap();
    assert_eq!(served.map(|it| it.len()), Ok(60 * 65_536));
    assert_eq!(stalled.await.unwrap(), Err(NoRoom.into()));
    assert_eq!(budget.use_bytes().arriving_bytes, 0);
}

// Guards against a second copy of a body in the buffer of the connection that it is handed over on.
#[tokio::test]
async fn a_body_is_sent_in_small_pieces() {
    for size_bytes in [0, 1, 16_384, 16_385, 100_000] {
        let content = Bytes::from(vec![b'b'; size_bytes]);
        let mut body = PiecewiseBody::open(content.clone());
        assert_eq!(body.size_hint().exact(), Some(size_bytes as u64));
        let mut received = Vec::new();
        while let Some(frame) = body.frame().await {
            let piece = frame.unwrap().into_data().unwrap();
            assert!(!piece.is_empty() && piece.len() <= 16_384, "{size_bytes}");
            received.extend_from_slice(&piece);
            assert_eq!(body.is_end_stream(), received.len() == size_bytes);
        }
        assert_eq!(received, content, "{size_bytes}");
    }
}
