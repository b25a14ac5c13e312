//! The log on standard error or standard output.

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

/// Lines that wait to be written at most; about 2 MB of text.
const MAX_WAITING_LINES: usize = 4096;

/// Size for which a line is allocated; few lines are longer.
const LINE_BYTES: usize = 512;

/// `Log` is the started log. What waits is written when it is dropped.
pub(crate) struct Log {
    _logger: LoggerHandle,
    _writer: WorkerGuard,
}

/// Starts the log. A thread of its own writes it, so that a slow reader delays
/// no request; lines are dropped while the reader is too slow for them.
///
/// # Errors
/// If a logger has been started before.
pub(crate) fn start(settings: &Settings) -> Result<Log> {
    let format = match settings.log_format {
        LogFormat::Text => detailed_format,
        LogFormat::Json => json_format,
    };
    let level = LogSpecification::builder()
        .default(settings.log_level)
        .build();
    let queue = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES);
    // The hosts of guarded workers are read by the platform's collector.
    let (lines, writer) = if settings.role.logs_to_stdout() {
        queue.finish(io::stdout())
    } else {
        queue.finish(io::stderr())
    };
    let writer_of_lines = QueuedWriter {
        dropped: lines.error_counter(),
        lines,
        format,
        reported: AtomicUsize::new(0),
    };
    let logger = Logger::with(level)
        .log_to_writer(Box::new(writer_of_lines))
        .start()
        .wrap_err("cannot start the log")?;
    Ok(Log {
        _logger: logger,
        _writer: writer,
    })
}

/// `QueuedWriter` queues the lines of the log for the thread that writes them.
struct QueuedWriter {
    lines: NonBlocking,
    format: FormatFunction,
    dropped: ErrorCounter,
    /// Dropped lines that the log itself tells of.
    reported: AtomicUsize,
}

impl QueuedWriter {
    /// Logs how many lines were dropped, once there is room in the queue.
    fn report_dropped(&self, dropped: usize) {
        let reported = self.reported.swap(dropped, Ordering::Relaxed);
        if reported < dropped {
            log_event!(
                Event::LinesLeftOut;
                "{} lines were dropped because the reader of the log is slow", dropped - reported
            );
        }
    }
}

impl LogWriter for QueuedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(LINE_BYTES);
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
