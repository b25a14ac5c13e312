//! The log on standard error or standard output.

use eyre::{Result, WrapErr};
use flexi_logger::{
    LogSpecification, Logger, LoggerHandle, WriteMode, detailed_format, json_format,
};

use crate::settings::{LogFormat, Settings};

/// Starts the log. It is written by a thread of its own, so that a slow reader
/// of standard error delays no request; the handle must be shut down at the
/// end to write what is left.
///
/// # Errors
/// If a logger has been started before.
pub(crate) fn start(settings: &Settings) -> Result<LoggerHandle> {
    let format = match settings.log_format {
        LogFormat::Text => detailed_format,
        LogFormat::Json => json_format,
    };
    let level = LogSpecification::builder()
        .default(settings.log_level)
        .build();
    let logger = Logger::with(level);
    // The hosts of guarded workers are read by the platform's collector.
    let logger = if settings.role.logs_to_stdout() {
        logger.log_to_stdout()
    } else {
        logger.log_to_stderr()
    };
    logger
        .format(format)
        .write_mode(WriteMode::Async)
        .start()
        .wrap_err("cannot start the log")
}
