//! Body that is sent in pieces, so that a connection that copies what it sends copies little at once.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

/// Size of a piece. hyper copies each piece of a body into its buffer on streams that don't write
/// several buffers at once, such as those between entry processes.
const PIECE_BYTES: usize = 16_384;

/// Body with a known content that is sent in pieces.
pub(super) struct PiecewiseBody(Bytes);

impl PiecewiseBody {
    /// Returns a body with this content.
    pub(super) fn open(content: Bytes) -> PiecewiseBody {
        PiecewiseBody(content)
    }
}

impl Body for PiecewiseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let size_bytes = self.0.len().min(PIECE_BYTES);
        let piece = self.0.split_to(size_bytes);
        Poll::Ready((!piece.is_empty()).then(|| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
