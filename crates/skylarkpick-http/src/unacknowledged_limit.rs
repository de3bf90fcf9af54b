//! Limit of the time for which bytes that were sent may stay unacknowledged.

use socket2::SockRef;
use std::time::Duration;
use tokio::net::TcpStream;

/// Bytes of a request that any server takes into its buffers while it doesn't read.
const BUFFERED_BYTES: u64 = 65_536;
/// The limit of a connection that this process has closed. The system gives up telling the server of the
/// close after it, and the server goes on with what it runs.
const CLOSED_LIMIT: Duration = Duration::from_secs(30);

/// Closes a connection whose server is gone, without mistaking a server that reads a long request
/// slowly for one.
///
/// The system also counts the time for which a server that acknowledges all takes nothing more, since
/// its buffers are full. So the limit is lifted amid a long request, whose deadline then decides.
#[derive(Debug)]
pub(crate) struct UnacknowledgedLimit {
    limit: Duration,
    /// Bytes written since the server last sent some.
    written_bytes: u64,
    is_lifted: bool,
}

impl UnacknowledgedLimit {
    /// Opens the state of a connection whose socket has this limit.
    pub(crate) fn open(limit: Duration) -> UnacknowledgedLimit {
        UnacknowledgedLimit { limit, written_bytes: 0, is_lifted: false }
    }

    /// Records that bytes were written.
    pub(crate) fn note_written(&mut self, stream: &TcpStream, count: usize) {
        self.written_bytes += count as u64;
        if self.written_bytes > BUFFERED_BYTES && !self.is_lifted {
            self.is_lifted = true;
            set(stream, None);
        }
    }

    /// Records that bytes were read.
    pub(crate) fn note_read(&mut self, stream: &TcpStream) {
        self.written_bytes = 0;
        if std::mem::take(&mut self.is_lifted) {
            set(stream, Some(self.limit));
        }
    }
}

/// Keeps the system telling a server of a close for longer than the limit of an open connection. To be
/// called before the socket is closed.
pub(crate) fn extend_for_close(stream: &TcpStream) {
    set(stream, Some(CLOSED_LIMIT));
}

/// Sets the limit, or none. A failure is only logged: a server that is gone is then noticed later.
fn set(stream: &TcpStream, limit: Option<Duration>) {
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(limit) {
        spdlog::debug!("the limit for unacknowledged bytes could not be set", kv: { error: });
    }
}
