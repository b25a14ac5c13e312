//! Claims of requests that are not repeatable, recorded by the control group.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hornbeam_control::ClaimCommand;
use hornbeam_core::ids::{ClaimKey, JobId};
use hornbeam_dispatch::ClaimOutcome;
use hornbeam_timer::TimerService;
use hornbeam_transport::Link;

use super::metrics::EntryMetrics;
use crate::metrics::MessageKind;
use crate::wire::{Request, RequestAnswer};

/// Longest wait for one control host before the next is asked. A claim takes
/// several milliseconds; an election, up to about a second.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause between two attempts, so that an election is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// `ClaimCaller` records claims at any control host that answers. Clones share
/// the choice of control host.
#[derive(Clone, Debug)]
pub(crate) struct ClaimCaller {
    hosts: Arc<Vec<Link>>,
    /// Index of the control host that answered last.
    preferred: Arc<AtomicUsize>,
    timer: TimerService,
    metrics: Arc<EntryMetrics>,
}

impl ClaimCaller {
    /// Creates a caller of the given control hosts.
    pub(crate) fn new(hosts: Vec<Link>, timer: TimerService, metrics: Arc<EntryMetrics>) -> Self {
        Self {
            hosts: Arc::new(hosts),
            preferred: Arc::default(),
            timer,
            metrics,
        }
    }

    /// Records a claim. A call without an answer is repeated until time runs
    /// out; that is safe because the claim carries its job as token.
    pub(crate) async fn record(
        &self,
        key: ClaimKey,
        token: JobId,
        valid_until_unix_ms: u64,
        within: Duration,
    ) -> ClaimOutcome {
        let command = ClaimCommand {
            key,
            token,
            valid_until_unix_ms,
            // The leader fills in its own clock.
            now_unix_ms: 0,
        };
        let attempts = self.attempt_until_decided(command);
        let end = self.timer.timeout(within, attempts).await;
        end.unwrap_or(ClaimOutcome::Unavailable)
    }

    async fn attempt_until_decided(&self, command: ClaimCommand) -> ClaimOutcome {
        if self.hosts.is_empty() {
            return ClaimOutcome::Unavailable;
        }
        let request = Request::Claim(command);
        loop {
            let index = self.preferred.load(Ordering::Relaxed);
            match self.attempt(index, &request).await {
                Some(ClaimOutcome::Unavailable) | None => {
                    let next = (index + 1) % self.hosts.len();
                    self.preferred.store(next, Ordering::Relaxed);
                    self.timer.sleep(RETRY_PAUSE).await;
                }
                Some(end) => return end,
            }
        }
    }

    async fn attempt(&self, index: usize, request: &Request) -> Option<ClaimOutcome> {
        let link = self.hosts.get(index)?;
        self.metrics.messages.request(MessageKind::Claim);
        let answer = link.call(request, ATTEMPT_TIMEOUT).await;
        match answer {
            Ok(RequestAnswer::Claim(end)) => {
                self.metrics.messages.answer(MessageKind::Claim);
                Some(end)
            }
            _ => None,
        }
    }
}
