//! Claims of requests that are not repeatable, recorded by the control hosts.

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

/// Timeout of an attempt at one control host, after which the next one is tried.
/// A claim takes several milliseconds; an election takes up to about a second.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay between two attempts, so that they do not flood the control hosts
/// during an election.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// `ClaimClient` records claims at any control host that answers. Clones share
/// the preferred control host.
#[derive(Clone, Debug)]
pub(crate) struct ClaimClient {
    hosts: Arc<Vec<Link>>,
    /// Index of the control host that answered last.
    preferred: Arc<AtomicUsize>,
    timer: TimerService,
    metrics: Arc<EntryMetrics>,
}

impl ClaimClient {
    /// Creates a client of the given control hosts.
    pub(crate) fn new(hosts: Vec<Link>, timer: TimerService, metrics: Arc<EntryMetrics>) -> Self {
        Self {
            hosts: Arc::new(hosts),
            preferred: Arc::default(),
            timer,
            metrics,
        }
    }

    /// Records a claim. Calls without an answer are repeated until the timeout;
    /// this is safe because the job id in the claim makes it idempotent.
    pub(crate) async fn record(
        &self,
        key: ClaimKey,
        token: JobId,
        valid_until_unix_ms: u64,
        timeout: Duration,
    ) -> ClaimOutcome {
        let command = ClaimCommand {
            key,
            token,
            valid_until_unix_ms,
            // Set by the leader from its clock.
            now_unix_ms: 0,
        };
        let attempts = self.attempt_until_decided(command);
        let outcome = self.timer.timeout(timeout, attempts).await;
        outcome.unwrap_or(ClaimOutcome::Unavailable)
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
                    self.timer.sleep(RETRY_DELAY).await;
                }
                Some(outcome) => return outcome,
            }
        }
    }

    async fn attempt(&self, index: usize, request: &Request) -> Option<ClaimOutcome> {
        let link = self.hosts.get(index)?;
        self.metrics.messages.count_request(MessageKind::Claim);
        let answer = link.call(request, ATTEMPT_TIMEOUT).await;
        match answer {
            Ok(RequestAnswer::Claim(outcome)) => {
                self.metrics.messages.count_answer(MessageKind::Claim);
                Some(outcome)
            }
            _ => None,
        }
    }
}
