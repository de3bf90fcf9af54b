//! Text of other writers in log lines.

/// Longest text of another writer in a log line.
const LOGGED_SIZE_LIMIT_BYTES: usize = 200;

/// Returns the start of a text that another writer chose, which may be long.
///
/// ```
/// use skylarkpick_telemetry::logged_start;
/// assert_eq!(logged_start("i-1"), "i-1");
/// assert_eq!(logged_start(&"é".repeat(1_000)), "é".repeat(100));
/// ```
pub fn logged_start(text: &str) -> &str {
    &text[..text.floor_char_boundary(LOGGED_SIZE_LIMIT_BYTES)]
}
