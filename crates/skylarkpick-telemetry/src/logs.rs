//! JSON-line logs on standard error.

use spdlog::{
    LevelFilter, Logger, formatter::JsonFormatter, sink::StdStreamSink, terminal_style::StyleMode,
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
