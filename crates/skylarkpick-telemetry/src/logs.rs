//! JSON-line logs on standard error or standard output.

use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
    terminal_style::StyleMode,
};
use std::sync::Arc;

/// The logger could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("failed to set up the logger: {0}")]
pub struct LogsError(#[from] spdlog::Error);

/// Logs to standard error, one JSON object per line: `level`, `timestamp` in milliseconds since
/// 1970, `payload` with the message, and `kv` with the fields.
///
/// # Errors
/// Returns an error if spdlog rejects the settings of the logger.
///
/// ```
/// skylarkpick_telemetry::open_logs(skylarkpick_telemetry::LevelFilter::Off)?;
/// # Ok::<(), skylarkpick_telemetry::LogsError>(())
/// ```
pub fn open_logs(level: LevelFilter) -> Result<(), LogsError> {
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(level).build()?;
    // Flushes every line, so that the last lines of a crashed process are not lost.
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Number of queued lines from which new lines are dropped, so that logging never blocks.
const QUEUED_LINES_LIMIT: usize = 4_096;

/// Logs to standard output, in the format of [`open_logs`]. A separate thread writes the lines, so
/// that the process is not blocked when the reader of its output stops reading; lines that exceed
/// the queue are dropped.
///
/// # Errors
/// Returns an error if spdlog rejects the settings of the logger.
///
/// ```
/// skylarkpick_telemetry::open_stdout_logs(skylarkpick_telemetry::LevelFilter::Off)?;
/// # Ok::<(), skylarkpick_telemetry::LogsError>(())
/// ```
pub fn open_stdout_logs(level: LevelFilter) -> Result<(), LogsError> {
    let output = StdStreamSink::builder()
        .stdout()
        .style_mode(StyleMode::Never)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder()
        .capacity(
            QUEUED_LINES_LIMIT
                .try_into()
                .map_err(|_| LogsError(spdlog::Error::Multiple(Vec::new())))?,
        )
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder().sink(sink).level_filter(level).build()?;
    logger.set_flush_level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Warn));
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
