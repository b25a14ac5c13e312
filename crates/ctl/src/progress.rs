//! A progress line on stderr.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Interval at which the line is drawn again.
const REDRAW: Duration = Duration::from_secs(1);

/// `Progress` shows what takes long and for how many seconds. It writes
/// nothing if stderr is no terminal.
#[derive(Debug)]
pub(crate) struct Progress {
    drawing: Option<(oneshot::Sender<()>, JoinHandle<()>)>,
}

impl Progress {
    /// Starts to draw.
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

    /// Clears the line.
    pub(crate) async fn finish(self) {
        if let Some((stop, task)) = self.drawing {
            // The task only ends early if the runtime stops.
            let _ = stop.send(());
            let _ = task.await;
        }
    }
}

async fn draw(activity: String, mut stopped: oneshot::Receiver<()>) {
    let mut ticks = tokio::time::interval(REDRAW);
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

/// Replaces the line; a failure to show progress is no failure of the command.
fn write_line(text: &str) {
    let mut stderr = std::io::stderr().lock();
    let _ = write!(stderr, "\r\x1b[K{text}");
    let _ = stderr.flush();
}
