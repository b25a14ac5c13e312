//! A progress line on stderr.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Interval at which the line is redrawn.
const REDRAW_INTERVAL: Duration = Duration::from_secs(1);

/// `Progress` shows a long-running activity and its elapsed seconds. It writes
/// nothing if stderr is not a terminal.
#[derive(Debug)]
pub(crate) struct Progress {
    drawing: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
}

impl Progress {
    /// Starts drawing the progress line.
    pub(crate) fn start(activity: impl Into<String>) -> Self {
        if !std::io::stderr().is_terminal() {
            return Self { drawing: None };
        }
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(draw(activity.into(), stopped));
        Self {
            drawing: Some((stop, task)),
        }
    }

    /// Stops drawing and clears the line.
    pub(crate) async fn finish(self) {
        if let Some((stop, task)) = self.drawing {
            // Both fail only if the runtime is shutting down.
            let _ = stop.send(());
            let _ = task.await;
        }
    }
}

async fn draw(activity: String, mut stopped: oneshot::Receiver<()>) {
    let mut ticks = tokio::time::interval(REDRAW_INTERVAL);
    let mut elapsed_s = 0_u64;
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            _ = ticks.tick() => {
                write_line(&format!("{activity} ({elapsed_s} s)"));
                elapsed_s += 1;
            }
        }
    }
    write_line("");
}

/// Replaces the line. Write errors are ignored, because progress is optional.
fn write_line(text: &str) {
    let mut stderr = std::io::stderr().lock();
    let _ = write!(stderr, "\r\x1b[K{text}");
    let _ = stderr.flush();
}
