//! Task and cancel exchanges with entry hosts.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hornbeam_core::api::backend::{
    Announcement, BatchTask, CancelAnswer, CancelRequest, TaskBatch, TaskBatchAnswer, TaskEnd,
    TaskStatus,
};
use hornbeam_core::ids::{GrantId, TaskId};
use hornbeam_http::{BodyLimits, close_without_response, json_response, read_json};
use serde::Deserialize;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use volo_http::request::Request;
use volo_http::response::Response;

use crate::faults::{ExchangeFault, FaultInjector, TaskFault};
use crate::task_table::TaskTable;

/// Factor by which the run time of a straggler is multiplied.
const STRAGGLE_FACTOR: u32 = 10;

/// Maximum number of waiting tasks per slot of a shared stand-in.
const MAX_WAITING_PER_SLOT: u32 = 16;

/// `Backend` is the shared state of the exchanges of one stand-in.
pub(crate) struct Backend {
    pub(crate) announcement: Announcement,
    pub(crate) latency: Duration,
    pub(crate) fault_injector: FaultInjector,
    pub(crate) task_table: TaskTable,
    /// Latest grant; tasks under any other grant are refused.
    pub(crate) grant: AtomicU64,
    /// True once the stand-in is leaving.
    pub(crate) leaving: watch::Sender<bool>,
    slots: Arc<Semaphore>,
    waiting: AtomicU32,
    running: Mutex<JoinSet<()>>,
}

/// `Payload` is a task payload that sets the true run time.
#[derive(Deserialize)]
struct Payload {
    run_ms: u64,
}

/// `PendingTask` is a task before its start.
struct PendingTask {
    id: TaskId,
    task: BatchTask,
    fault: TaskFault,
    start_until: Instant,
    /// Slot, if one was free on arrival of the batch.
    slot: Option<OwnedSemaphorePermit>,
}

impl Backend {
    /// Creates the state of a stand-in that is not yet announced.
    pub(crate) fn new(
        announcement: Announcement,
        latency: Duration,
        fault_injector: FaultInjector,
    ) -> Self {
        Self {
            grant: AtomicU64::new(announcement.grant),
            latency,
            fault_injector,
            task_table: TaskTable::new(),
            leaving: watch::Sender::new(false),
            slots: Arc::new(Semaphore::new(announcement.slots as usize)),
            waiting: AtomicU32::new(0),
            running: Mutex::default(),
            announcement,
        }
    }

    /// Answers `POST /v1/tasks`.
    pub(crate) async fn run_tasks(self: Arc<Self>, request: Request) -> Response {
        let received = Instant::now();
        let batch: TaskBatch = match read_json(request, &BodyLimits::default()).await {
            Ok(batch) => batch,
            Err(rejection) => return json_response(rejection.status, &rejection.findings),
        };
        sleep(self.latency).await;
        let fault = self.fault_injector.draw_exchange_fault();
        if fault == ExchangeFault::CloseBeforeStart {
            return close_without_response();
        }
        let ends = self.clone().run_batch(&batch, received).await;
        match fault {
            ExchangeFault::CloseAfterRun => return close_without_response(),
            ExchangeFault::Silent => {
                self.wait_until_leaving().await;
                return close_without_response();
            }
            _ => sleep(self.latency).await,
        }
        let mut answer = self.answer(batch, ends);
        if fault == ExchangeFault::WrongAnswer {
            answer.job_id.push_str("-other");
        }
        json_response(200, &answer)
    }

    /// Answers `POST /v1/tasks/cancel`.
    pub(crate) async fn cancel_tasks(self: Arc<Self>, request: Request) -> Response {
        let request: CancelRequest = match read_json(request, &BodyLimits::default()).await {
            Ok(request) => request,
            Err(rejection) => return json_response(rejection.status, &rejection.findings),
        };
        sleep(self.latency).await;
        let incarnation = self.announcement.incarnation;
        let fates = if request.incarnation == incarnation {
            self.task_table.cancel(&request)
        } else {
            self.task_table.statuses(&request)
        };
        sleep(self.latency).await;
        json_response(200, &CancelAnswer { incarnation, fates })
    }

    /// Waits until the stand-in is leaving.
    async fn wait_until_leaving(&self) {
        let mut leaving = self.leaving.subscribe();
        // An error means that the stand-in was dropped.
        let _ = leaving.wait_for(|leaving| *leaving).await;
    }

    /// Waits for all tasks to end.
    pub(crate) async fn join_tasks(&self) {
        let mut running = {
            let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *running)
        };
        while running.join_next().await.is_some() {}
    }

    /// Aborts all tasks.
    pub(crate) fn abort_tasks(&self) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.abort_all();
    }

    fn answer(&self, batch: TaskBatch, ends: Vec<TaskEnd>) -> TaskBatchAnswer {
        TaskBatchAnswer {
            server_id: self.announcement.server_id.clone(),
            incarnation: self.announcement.incarnation,
            job_id: batch.job_id,
            load: self.task_table.load(),
            ends,
        }
    }

    /// Gets the reason to refuse a whole batch, if any.
    fn refusal(&self, batch: &TaskBatch) -> Option<&'static str> {
        let latest: GrantId = self.grant.load(Ordering::SeqCst);
        if batch.incarnation != self.announcement.incarnation {
            Some("another incarnation was meant")
        } else if batch.grant != latest {
            Some("the grant is not the latest")
        } else if *self.leaving.borrow() {
            Some("the server is leaving")
        } else {
            None
        }
    }

    /// Runs a batch. Its tasks continue if the sender disconnects.
    async fn run_batch(self: Arc<Self>, batch: &TaskBatch, received: Instant) -> Vec<TaskEnd> {
        if let Some(cause) = self.refusal(batch) {
            let refused = |task: &BatchTask| not_started(task, cause);
            return batch.tasks.iter().map(refused).collect();
        }
        let start_until = received + Duration::from_millis(batch.start_within_ms);
        let mut receivers = Vec::with_capacity(batch.tasks.len());
        for task in &batch.tasks {
            let pending = PendingTask {
                id: (batch.job_id.clone(), task.index),
                task: task.clone(),
                fault: self.fault_injector.draw_task_fault(),
                start_until,
                // Acquired in order of the batch, so that its first tasks get slots.
                slot: self.slots.clone().try_acquire_owned().ok(),
            };
            receivers.push(self.clone().spawn(pending));
        }
        let mut task_ends = Vec::with_capacity(receivers.len());
        for (receiver, task) in receivers.into_iter().zip(&batch.tasks) {
            // The channel is closed only if the stand-in is aborted.
            let end = receiver.await;
            task_ends.push(end.unwrap_or_else(|_| ended(task, TaskStatus::Stopped, "aborted", 0)));
        }
        task_ends
    }

    fn spawn(self: Arc<Self>, pending: PendingTask) -> oneshot::Receiver<TaskEnd> {
        let (sender, receiver) = oneshot::channel();
        let backend = self.clone();
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        // Reaps tasks that have ended.
        while running.try_join_next().is_some() {}
        running.spawn(async move {
            let end = backend.run_task(pending).await;
            // The sender of the batch may have disconnected.
            let _ = sender.send(end);
        });
        receiver
    }

    async fn run_task(&self, mut pending: PendingTask) -> TaskEnd {
        let Some(cancelled) = self.task_table.add_waiting(&pending.id) else {
            return not_started(&pending.task, "it was cancelled before");
        };
        let slot = match self.acquire_slot(&mut pending, &cancelled).await {
            Ok(slot) => slot,
            Err(cause) => {
                self.task_table.remove_waiting(&pending.id);
                return not_started(&pending.task, cause);
            }
        };
        if Instant::now() > pending.start_until {
            self.task_table.remove_waiting(&pending.id);
            return not_started(&pending.task, "its start deadline has passed");
        }
        if !self
            .task_table
            .mark_running(&pending.id, &pending.task.payload)
        {
            self.task_table.remove_waiting(&pending.id);
            return not_started(&pending.task, "it was cancelled");
        }
        let end = execute(&pending, &cancelled).await;
        // Released before the end is reported, so that the slot can be reused
        // immediately.
        drop(slot);
        self.task_table.mark_ended(&pending.id);
        end
    }

    /// Acquires a slot. Only a shared stand-in queues tasks.
    async fn acquire_slot(
        &self,
        pending: &mut PendingTask,
        cancelled: &Notify,
    ) -> Result<OwnedSemaphorePermit, &'static str> {
        if let Some(slot) = pending.slot.take() {
            return Ok(slot);
        }
        if !self.announcement.shared {
            return Err("no slot is free");
        }
        let max_waiting = self.announcement.slots.saturating_mul(MAX_WAITING_PER_SLOT);
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= max_waiting {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return Err("no slot is free and the queue is full");
        }
        let acquiring = timeout_at(pending.start_until, self.slots.clone().acquire_owned());
        let slot = tokio::select! {
            slot = acquiring => match slot {
                Ok(Ok(slot)) => Ok(slot),
                _ => Err("no slot was free until its start deadline"),
            },
            () = cancelled.notified() => Err("it was cancelled"),
        };
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        slot
    }
}

/// Simulates a task for its run time or until it is cancelled.
async fn execute(pending: &PendingTask, cancelled: &Notify) -> TaskEnd {
    let task = &pending.task;
    let (job, index) = &pending.id;
    let payload = serde_json::from_str::<Payload>(&task.payload);
    let length = Duration::from_millis(payload.map_or(task.run_ms, |payload| payload.run_ms));
    let length = match pending.fault {
        TaskFault::Straggle => length * STRAGGLE_FACTOR,
        TaskFault::Stop => length / 2,
        TaskFault::Fail | TaskFault::None => length,
    };
    let started_at = Instant::now();
    let is_cancelled = tokio::select! {
        () = sleep(length) => false,
        () = cancelled.notified() => true,
    };
    let run_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    match pending.fault {
        _ if is_cancelled => ended(task, TaskStatus::Stopped, "it was cancelled", run_ms),
        TaskFault::Stop => ended(task, TaskStatus::Stopped, "the worker stopped it", run_ms),
        TaskFault::Fail => ended(task, TaskStatus::Failed, "it failed by plan", run_ms),
        _ => ended(
            task,
            TaskStatus::Finished,
            &format!("{job}/{index}"),
            run_ms,
        ),
    }
}

fn not_started(task: &BatchTask, cause: &str) -> TaskEnd {
    ended(task, TaskStatus::NotStarted, cause, 0)
}

fn ended(task: &BatchTask, status: TaskStatus, output: &str, run_ms: u64) -> TaskEnd {
    TaskEnd {
        index: task.index,
        status,
        output: output.into(),
        run_ms,
    }
}
