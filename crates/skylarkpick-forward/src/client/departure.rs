//! Notices that a client has left while its request is processed.

use super::activity::{Activity, Phase, RequestSocket};
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::time::{Sleep, sleep};

/// Time between two looks at the socket of a client whose request is processed.
const LOOK_INTERVAL: Duration = Duration::from_millis(350);

/// Resolves once the client has closed its side while its request is processed. hyper sees that at once,
/// unless it has read bytes behind the request.
///
/// The task that waits has to poll the connection as well: only that changes the phase.
pub(super) struct Departure<S> {
    socket: S,
    activity: Arc<Activity>,
    /// Time of the next look, while a request is processed.
    next_look: Option<Pin<Box<Sleep>>>,
}

impl<S: RequestSocket> Departure<S> {
    pub(super) fn open(socket: S, activity: Arc<Activity>) -> Departure<S> {
        Departure { socket, activity, next_look: None }
    }
}

impl<S: RequestSocket> Future for Departure<S> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.activity.phase() != Phase::Busy {
            self.next_look = None;
            return Poll::Pending;
        }
        loop {
            let look = self.next_look.get_or_insert_with(|| Box::pin(sleep(LOOK_INTERVAL)));
            ready!(look.as_mut().poll(context));
            if self.socket.is_closed_by_peer() {
                return Poll::Ready(());
            }
            self.next_look = None;
        }
    }
}
