//! Socket of a connection that can be looked at while hyper uses it.

use super::activity::RequestSocket;
use std::{
    io::IoSlice,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Socket of a connection, which closes with its last clone.
pub(super) struct SharedSocket<S>(Arc<Mutex<S>>);

impl<S> Clone for SharedSocket<S> {
    fn clone(&self) -> SharedSocket<S> {
        SharedSocket(self.0.clone())
    }
}

impl<S: RequestSocket> SharedSocket<S> {
    pub(super) fn open(socket: S) -> SharedSocket<S> {
        SharedSocket(Arc::new(Mutex::new(socket)))
    }

    fn lock(&self) -> MutexGuard<'_, S> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: RequestSocket> RequestSocket for SharedSocket<S> {
    fn set_resets(&self, resets: bool) -> std::io::Result<()> {
        self.lock().set_resets(resets)
    }

    fn is_closed_by_peer(&self) -> bool {
        self.lock().is_closed_by_peer()
    }
}

impl<S: RequestSocket> AsyncRead for SharedSocket<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_read(context, buffer)
    }
}

impl<S: RequestSocket> AsyncWrite for SharedSocket<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut *self.lock()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut *self.lock()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_shutdown(context)
    }
}
