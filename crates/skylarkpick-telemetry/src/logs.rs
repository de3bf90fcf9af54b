//! JSON-line logs on standard error or standard output.

use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
    terminal_style::StyleMode,
};
use std::sync::Arc;

/// Why logs could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("logs cannot be opened: {0}")]
pub struct LogsError(#[from] spdlog::Error);

/// Sends what the process logs to standard error, a JSON object a line: `level`, `timestamp` in
/// milliseconds since 1970, `payload` with what happened, and `kv` with the fields.
///
/// # Errors
/// When the log library refuses its settings.
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
    // Whoever reads the log of a process that died needs the last lines.
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Lines that wait to be written; more are dropped rather than waited for.
const WAITING_LINES_LIMIT: usize = 4_096;

/// Sends what the process logs to standard output, in the form of [`open_logs`]. A thread of its
/// own writes the lines, so that a reader that stops reading never blocks the process; lines over
/// the number that may wait are dropped.
///
/// # Errors
/// When the log library refuses its settings.
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
            WAITING_LINES_LIMIT
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
