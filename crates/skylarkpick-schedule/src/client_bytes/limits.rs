//! Limits that follow from the memory and the descriptors of a machine.

use std::time::Duration;

/// Memory that is not for request bodies: a process without load takes 15 to 25 MB, and response
/// bodies that are buffered up to 14 MB.
const OTHER_MEMORY_BYTES: usize = 40_000_000;
/// Part of the rest that bodies may take. The remainder is for connections, their socket buffers and
/// what the allocator can't reuse at once.
const BODIES_DIVISOR: usize = 3;
/// Smallest budget: two bodies of 4 MiB, the usual limit of one body.
const BODIES_FLOOR_BYTES: usize = 8 * 1_048_576;
/// Part of the budget that only short bodies may take.
const SHORT_BODIES_DIVISOR: usize = 4;
/// Size up to which a body is short. Prompts of 10,000 tokens have about 40 KB.
const SHORT_BODY_BYTES: usize = 65_536;
/// Time that a body may take in addition to that for its bytes, and for which it may pause. Bodies had
/// this time altogether before there was a budget.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);
/// Rate below which a body is ended although there is room: a tenth of a link of 10 Mbit/s.
const SLOWEST_BYTES_PER_SECOND: usize = 125_000;
/// The same where room is short.
const PRESSED_PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// A fifth of a link of 10 Mbit/s, which thus carries five large bodies at once.
const PRESSED_BYTES_PER_SECOND: usize = 250_000;
/// Most client connections of a process, which keeps another thousand descriptors for targets.
const CONNECTIONS_CEILING: usize = 3_000;
/// Descriptors for connections to targets, the platform and other processes, and for files; at most
/// half of all.
const DESCRIPTORS_RESERVE: u64 = 1_024;
/// Memory of a client connection that carries no body: a read buffer of 16 KB, and its task.
const CONNECTION_BYTES: usize = 24_576;
/// Part of the memory that connections without bodies may take.
const CONNECTIONS_MEMORY_DIVISOR: usize = 4;

/// Limits on the request bodies of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Bytes of all bodies together.
    pub total_bytes: usize,
    /// Bytes of bodies that are not short.
    pub long_bytes: usize,
    /// Size up to which a body is short.
    pub short_body_bytes: usize,
    /// Slowest pace of a body.
    pub pace: BodyPace,
    /// Slowest pace of a body whose room another one needs.
    pub pressed_pace: BodyPace,
}

/// Slowest pace at which a body has to arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyPace {
    /// Longest time without a byte, and time that the whole body may take in addition to that of its
    /// bytes.
    pub pause_limit: Duration,
    /// Rate since the head of the request.
    pub bytes_per_second: usize,
}

impl BodyLimits {
    /// Returns the limits of a process on a machine with this memory.
    ///
    /// ```
    /// let limits = skylarkpick_schedule::BodyLimits::of_memory(160_000_000);
    /// assert_eq!(limits.total_bytes, 40_000_000);
    /// assert_eq!(limits.long_bytes, 30_000_000);
    /// ```
    pub fn of_memory(memory_bytes: usize) -> BodyLimits {
        let bodies_bytes = memory_bytes.saturating_sub(OTHER_MEMORY_BYTES) / BODIES_DIVISOR;
        let total_bytes = bodies_bytes.max(BODIES_FLOOR_BYTES);
        BodyLimits {
            total_bytes,
            long_bytes: total_bytes - total_bytes / SHORT_BODIES_DIVISOR,
            short_body_bytes: SHORT_BODY_BYTES,
            pace: BodyPace { pause_limit: PAUSE_LIMIT, bytes_per_second: SLOWEST_BYTES_PER_SECOND },
            pressed_pace: BodyPace {
                pause_limit: PRESSED_PAUSE_LIMIT,
                bytes_per_second: PRESSED_BYTES_PER_SECOND,
            },
        }
    }
}

impl BodyPace {
    /// Returns when a body becomes too slow that began and last sent something at these times.
    ///
    /// ```
    /// use std::time::Duration;
    /// let pace = skylarkpick_schedule::BodyLimits::of_memory(160_000_000).pace;
    /// let second = Duration::from_secs(1);
    /// assert_eq!(pace.due(second, second, 0), second * 6);
    /// assert_eq!(pace.due(second, second * 6, 125_000), second * 7);
    /// ```
    pub fn due(&self, began: Duration, last: Duration, arrived_bytes: usize) -> Duration {
        let earned = arrived_bytes as f64 / self.bytes_per_second as f64;
        let by_rate = began + self.pause_limit + Duration::from_secs_f64(earned);
        by_rate.min(last + self.pause_limit)
    }
}

/// Returns the number of client connections that a process may have open, whose settings name a limit
/// of descriptors or its memory.
///
/// ```
/// use skylarkpick_schedule::connection_limit;
/// assert_eq!(connection_limit(Some(4_100), Some(512_000_000)), 3_000);
/// assert_eq!(connection_limit(Some(200), None), 100);
/// assert_eq!(connection_limit(None, None), 3_000);
/// ```
pub fn connection_limit(descriptors: Option<u64>, memory_bytes: Option<u64>) -> usize {
    let by_descriptors =
        descriptors.map(|count| count.saturating_sub(DESCRIPTORS_RESERVE.min(count / 2)));
    let by_memory =
        memory_bytes.map(|bytes| bytes / (CONNECTIONS_MEMORY_DIVISOR * CONNECTION_BYTES) as u64);
    let limits = [by_descriptors, by_memory].into_iter().flatten();
    let limits = limits.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX));
    limits.fold(CONNECTIONS_CEILING, usize::min).max(1)
}
