//! Decides which client connections end when all are taken.

use super::limits::BodyPace;
use std::time::Duration;

/// Part of the longest pause of a body in which a head has to arrive. Heads are short, and the sooner such
/// connections end, the sooner a caller that waits behind a crowd is accepted.
const HEAD_PAUSE_DIVISOR: u32 = 4;

/// Number of a client connection in its process.
pub type ConnectionId = u64;

/// How far the requests on a connection have come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionStage {
    /// The connection has just been accepted, or a part of a head has arrived.
    Head,
    /// The body of a request arrives.
    Body,
    /// A whole request is processed, or its response is being sent.
    Whole,
    /// The last response has been sent, and nothing of the next request has arrived.
    Kept,
}

/// What is known of an open connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionState {
    /// Its number.
    pub id: ConnectionId,
    /// How far its requests have come.
    pub stage: ConnectionStage,
    /// Time at which the stage began.
    pub since: Duration,
    /// Time of its last bytes.
    pub last: Duration,
    /// Bytes that have arrived since.
    pub arrived_bytes: usize,
}

/// Returns the connections that end so that others can be accepted, at most `most`.
///
/// Addresses clients that take all connections and send little or nothing. Of the requests that have
/// fallen behind their pace, those furthest behind end first. Without such a request, the connection that
/// was idle for longest ends, alone: its client may be about to use it. A connection with a whole
/// request never ends.
///
/// ```
/// use skylarkpick_schedule::{BodyLimits, ConnectionStage, ConnectionState, connections_to_end};
/// use std::time::Duration;
/// let pace = BodyLimits::of_memory(160_000_000).pressed_pace;
/// let silent = ConnectionState {
///     id: 7,
///     stage: ConnectionStage::Head,
///     since: Duration::ZERO,
///     last: Duration::ZERO,
///     arrived_bytes: 0,
/// };
/// let whole = ConnectionState { id: 8, stage: ConnectionStage::Whole, ..silent };
/// let ended = |now| connections_to_end(&[silent, whole], pace, now, 10);
/// assert!(ended(Duration::from_millis(200)).is_empty());
/// assert_eq!(ended(Duration::from_secs(2)), [7]);
/// ```
pub fn connections_to_end(
    connections: &[ConnectionState],
    pace: BodyPace,
    now: Duration,
    most: usize,
) -> Vec<ConnectionId> {
    let due = |it: &ConnectionState| match it.stage {
        ConnectionStage::Head => Some(it.since + pace.pause_limit / HEAD_PAUSE_DIVISOR),
        ConnectionStage::Body => Some(pace.due(it.since, it.last, it.arrived_bytes)),
        ConnectionStage::Whole | ConnectionStage::Kept => None,
    };
    let unfinished = connections.iter().filter_map(|it| Some((due(it)?, it.id)));
    let mut behind: Vec<_> = unfinished.filter(|(due, _)| *due <= now).collect();
    if !behind.is_empty() {
        behind.sort_unstable();
        return behind.into_iter().take(most).map(|(_, id)| id).collect();
    }
    let kept = connections.iter().filter(|it| it.stage == ConnectionStage::Kept);
    let idle = kept.filter(|it| it.since + pace.pause_limit <= now);
    idle.min_by_key(|it| (it.since, it.id)).map(|it| it.id).into_iter().take(most).collect()
}
