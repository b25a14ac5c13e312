//! State of a worker that this host owns, and of the runs on it.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::ids::HostId;
use indexmap::IndexMap;

use crate::fencing::FencingToken;
use crate::io::{StopRequest, WorkerTarget};
use crate::job::RunId;
use crate::lease::{Lease, RUN_END_LIMIT};
use crate::report::WorkerReport;
use crate::report_answers::PendingReport;
use crate::resources::Resources;
use crate::verification::Verification;

/// Timeout of a stop request. A round trip takes a few milliseconds.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_millis(150);

/// Shortest lease under which a run is started. It outlasts a lost poll, which is
/// given up after 550 ms.
const MIN_LEASE_OF_NEW_RUN: Duration = Duration::from_millis(620);

/// `WorkerKey` identifies one period of ownership of a worker within a process.
pub type WorkerKey = u64;

/// `Worker` is a worker that this host owns.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) worker_key: WorkerKey,
    pub(crate) report: WorkerReport,
    pub(crate) reported_at: Duration,
    pub(crate) fencing_token: FencingToken,
    pub(crate) phase: Phase,
    pub(crate) lease: Lease,
    pub(crate) runs: IndexMap<RunId, Run>,
    /// Resources occupied by the runs.
    pub(crate) used: Resources,
    /// Ended runs up to this sequence number have been processed.
    pub(crate) acknowledged: u64,
    /// Time at which the poll in flight was sent.
    pub(crate) poll_sent_at: Option<Duration>,
    /// Time at which the probe in flight was sent.
    pub(crate) probe_sent_at: Option<Duration>,
    /// Time before which no probe is sent.
    pub(crate) next_probe_at: Duration,
    /// Time at which the next poll is due, if none is in flight.
    pub(crate) next_poll_at: Duration,
    /// Number of consecutive polls without an answer.
    pub(crate) unanswered_polls: u32,
    /// Time of the last answer to a poll or a probe.
    pub(crate) last_poll_answer_at: Duration,
    /// Send time of the last answered poll or probe, after which a later
    /// incarnation can have started.
    pub(crate) incarnation_seen_at: Duration,
    /// Time of the last answer to any request.
    pub(crate) last_answer_at: Duration,
    /// Time before which the worker gets no new runs.
    pub(crate) blocked_until: Duration,
    /// Whether the failure domain of the worker is evacuated.
    pub(crate) is_evacuated: bool,
    /// Time until which the worker expects to be slow, by its last report.
    pub(crate) cold_until: Duration,
    /// Number of consecutive failed runs and refused starts.
    pub(crate) failures: u32,
    /// Number of times the fencing token was raised during take-over because
    /// the worker had seen a higher one.
    pub(crate) token_raises: u32,
    /// Whether the last poll listed runs that this host does not know, which
    /// occupy an unknown amount of resources.
    pub(crate) has_unknown_runs: bool,
    /// Time at which a start request was last given up without an answer.
    pub(crate) start_unanswered_at: Option<Duration>,
    /// Number of refused connections since the last answer.
    pub(crate) refused_polls: u32,
    /// Runs that were on the worker when it became silent, until it answers.
    pub(crate) lost_runs: IndexMap<RunId, LostRun>,
    /// Whether the worker refused a start as late, so that the last reading of its
    /// clock is too old for leases.
    pub(crate) needs_clock_reading: bool,
    /// Reports that are answered when the worker answers, the oldest first.
    pub(crate) pending_reports: Vec<PendingReport>,
}

/// `LostRun` is a run that was on a worker when it became silent.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    /// Host of the job, if that is a peer.
    pub(crate) origin: Option<HostId>,
    /// Whether the run is known to have started.
    pub(crate) has_started: bool,
}

/// `Phase` is the progress of taking ownership of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Polls without a new fencing token until the message that made the worker
    /// known is verified.
    Verifying(Verification),
    /// Polls without extending the lease until no run of a former owner is
    /// left.
    TakingOver,
    /// Starts tasks.
    Ready,
}

/// `Run` is a run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Whether no further run may join it on the worker, because its task may
    /// crash the worker.
    pub(crate) is_exclusive: bool,
    /// Resources that the run occupies.
    pub(crate) need: Resources,
    /// Expected run time on this worker.
    pub(crate) expected: Duration,
    /// Expected run time on a worker of mean pace.
    pub(crate) mean_expected: Duration,
    /// Description of the work.
    pub(crate) spec: Arc<str>,
    /// Time by which the run has ended if none of its start requests was
    /// answered.
    pub(crate) ends_by: Duration,
    /// The same if the worker has restarted: a later incarnation counts the lease
    /// from the arrival of the last start request, which is given up by its timeout.
    pub(crate) ends_by_if_restarted: Duration,
    /// Last reading of the worker's clock when the last start request was sent, in
    /// ms.
    pub(crate) clock_at_start_ms: u64,
    /// Whether a start request got no answer. It may be carried out seconds later,
    /// by a later incarnation as well.
    pub(crate) has_unanswered_start: bool,
    /// Whether the incarnation that is known here has certainly started the run.
    pub(crate) is_confirmed: bool,
    /// Completed share of the work in percent when it last increased, and the
    /// time of that increase.
    pub(crate) progress: (u32, Duration),
    /// State of the run.
    pub(crate) state: RunState,
    /// Time at which a stop is to be sent; `None` if no stop is wanted or one
    /// is in flight.
    pub(crate) stop_at: Option<Duration>,
    /// Whether the run is to be stopped.
    pub(crate) stop_requested: bool,
    /// Whether the last stop request got no answer.
    pub(crate) stop_is_unanswered: bool,
    /// Time by which the run must have ended even if all stop requests are lost:
    /// [`RUN_END_LIMIT`] after it was last known to be wanted. `None` while this
    /// host itself wants it.
    pub(crate) lease_limit: Option<Duration>,
}

impl Run {
    /// Marks the run to be stopped at once.
    pub(crate) fn request_stop(&mut self, now: Duration) {
        self.stop_requested = true;
        self.stop_at = Some(now);
        self.lease_limit.get_or_insert(now + RUN_END_LIMIT);
    }
}

/// `RunState` is the state of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RunState {
    /// Start request sent this many times.
    Starting(u32),
    /// No start request was answered; the run may or may not exist.
    Unknown,
    /// Running since this time.
    Running(Duration),
}

impl Worker {
    pub(crate) fn new(
        worker_key: WorkerKey,
        report: WorkerReport,
        (fencing_token, phase): (FencingToken, Phase),
        now: Duration,
    ) -> Self {
        Self {
            worker_key,
            report,
            reported_at: now,
            fencing_token,
            phase,
            lease: Lease::default(),
            runs: IndexMap::new(),
            used: Resources::default(),
            acknowledged: 0,
            poll_sent_at: None,
            probe_sent_at: None,
            next_probe_at: Duration::ZERO,
            next_poll_at: now,
            unanswered_polls: 0,
            last_poll_answer_at: now,
            incarnation_seen_at: Duration::ZERO,
            last_answer_at: now,
            blocked_until: Duration::ZERO,
            is_evacuated: false,
            cold_until: Duration::ZERO,
            failures: 0,
            token_raises: 0,
            has_unknown_runs: false,
            start_unanswered_at: None,
            refused_polls: 0,
            lost_runs: IndexMap::new(),
            needs_clock_reading: false,
            pending_reports: Vec::new(),
        }
    }

    /// Whether the lease may be extended. It covers all runs on the worker, so it
    /// is the only limit of a run that is to end if stop requests are lost.
    pub(crate) fn may_extend_lease(&self) -> bool {
        self.phase == Phase::Ready
            && !self.has_unknown_runs
            && !self.runs.values().any(|run| run.stop_is_unanswered)
    }

    /// Gets the time by which the lease must have ended, because of a run on the
    /// worker that may no longer be wanted; `None` if there is no such run.
    fn lease_limit(&self) -> Option<Duration> {
        self.runs.values().filter_map(|run| run.lease_limit).min()
    }

    /// Whether the lease would not outlast a lost poll, because of its limit.
    pub(crate) fn has_short_lease(&self, now: Duration) -> bool {
        let is_short = |limit: Duration| limit < now + MIN_LEASE_OF_NEW_RUN;
        self.lease_limit().is_some_and(is_short)
    }

    /// Extends the lease if it may be extended, and gets its expiry on the worker's
    /// clock; `None` until the clock has been read.
    pub(crate) fn extend_lease(&mut self, now: Duration, length: Duration) -> Option<u64> {
        if self.may_extend_lease() {
            let limit = self.lease_limit();
            self.lease.extend(now, length, limit)
        } else {
            self.lease.latest_expiry_ms()
        }
    }

    /// Gets the address and fencing token for requests to the worker.
    pub(crate) fn target(&self) -> WorkerTarget {
        WorkerTarget {
            worker_key: self.worker_key,
            address: self.report.address,
            worker_id: self.report.worker_id.clone(),
            fencing_token: self.fencing_token,
        }
    }

    /// Whether the worker may get new runs now.
    pub(crate) fn accepts_runs(&self, now: Duration) -> bool {
        self.may_extend_lease()
            && !self.needs_clock_reading
            && !self.has_short_lease(now)
            && !self.report.draining
            && !self.is_evacuated
            && self.unanswered_polls == 0
            && !self.runs.values().any(|run| run.is_exclusive)
            && now >= self.blocked_until
    }

    /// Builds the request to stop a run.
    pub(crate) fn stop_request(&self, run: RunId) -> StopRequest {
        StopRequest {
            target: self.target(),
            run,
            timeout: STOP_TIMEOUT,
        }
    }

    /// Gets the free resources.
    pub(crate) fn free(&self) -> Resources {
        let mut free = self.report.capacity;
        free.subtract(&self.used);
        free
    }

    /// Adds a run and occupies its resources.
    pub(crate) fn add(&mut self, id: RunId, run: Run) {
        self.used.add(&run.need);
        self.runs.insert(id, run);
    }

    /// Removes a run and frees its resources.
    pub(crate) fn remove(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.swap_remove(&id)?;
        self.used.subtract(&run.need);
        Some(run)
    }

    /// Assigns no new runs to the worker until the given time.
    pub(crate) fn block(&mut self, until: Duration) {
        self.blocked_until = self.blocked_until.max(until);
    }
}
