//! Logging to standard error or standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};

use eyre::{Result, WrapErr};
use flexi_logger::writers::LogWriter;
use flexi_logger::{
    DeferredNow, FormatFunction, LogSpecification, Logger, LoggerHandle, detailed_format,
    json_format,
};
use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use log::{LevelFilter, Record};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::settings::{LogFormat, Settings};

/// Maximum number of lines that are queued for writing; about 2 MB of text.
const MAX_QUEUED_LINES: usize = 4096;

/// Initial capacity of the buffer of a line; few lines are longer.
const INITIAL_LINE_BYTES: usize = 512;

/// `LogHandle` keeps the logger running. Dropping it writes the queued lines.
pub(crate) struct LogHandle {
    _logger: LoggerHandle,
    _writer: WorkerGuard,
}

/// Starts the logger. A separate thread writes the lines, so that a slow log
/// reader delays no request; lines that do not fit into the queue are dropped.
///
/// # Errors
/// If a logger is already running.
pub(crate) fn start(settings: &Settings) -> Result<LogHandle> {
    let format = match settings.log_format {
        LogFormat::Text => detailed_format,
        LogFormat::Json => json_format,
    };
    let level = LogSpecification::builder()
        .default(settings.log_level)
        .build();
    let builder = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES);
    // The platform collects standard output of the hosts of guarded workers.
    let (lines, writer) = if settings.role.logs_to_stdout() {
        builder.finish(io::stdout())
    } else {
        builder.finish(io::stderr())
    };
    let queued_writer = QueuedWriter {
        dropped: lines.error_counter(),
        lines,
        format,
        reported: AtomicUsize::new(0),
    };
    let logger = Logger::with(level)
        .log_to_writer(Box::new(queued_writer))
        .start()
        .wrap_err("cannot start the logger")?;
    Ok(LogHandle {
        _logger: logger,
        _writer: writer,
    })
}

/// `QueuedWriter` formats log lines and queues them for the writer thread.
struct QueuedWriter {
    lines: NonBlocking,
    format: FormatFunction,
    dropped: ErrorCounter,
    /// Number of dropped lines that have been reported in the log.
    reported: AtomicUsize,
}

impl QueuedWriter {
    /// Logs how many lines were dropped since the last report. It is called once
    /// the queue accepts lines again.
    fn report_dropped(&self, dropped: usize) {
        let reported = self.reported.swap(dropped, Ordering::Relaxed);
        if reported < dropped {
            log_event!(
                Event::LinesLeftOut;
                "dropped {} log lines because the log reader is too slow", dropped - reported
            );
        }
    }
}

impl LogWriter for QueuedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(INITIAL_LINE_BYTES);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        let dropped = self.dropped.dropped_lines();
        self.lines.clone().write_all(&line)?;
        if dropped == self.dropped.dropped_lines() {
            self.report_dropped(dropped);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}
