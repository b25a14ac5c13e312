//! Exchanges with entry hosts.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hornbeam_core::api::backend::{
    Announcement, BatchTask, CancelAnswer, CancelRequest, TaskBatch, TaskBatchAnswer, TaskEnd,
    TaskStatus,
};
use hornbeam_core::ids::{GrantId, TaskId};
use hornbeam_http::{BodyLimits, close_without_answer, json_answer, read_json};
use serde::Deserialize;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use volo_http::request::Request;
use volo_http::response::Response;

use crate::board::Board;
use crate::chance::{Chance, ExchangeFault, TaskFault};

/// Factor by which a straggling task takes longer.
const STRAGGLE_FACTOR: u32 = 10;

/// Tasks that may wait per slot of a shared stand-in.
const QUEUE_PER_SLOT: u32 = 16;

/// `Backend` is what the exchanges of one stand-in share.
pub(crate) struct Backend {
    pub(crate) announcement: Announcement,
    pub(crate) latency: Duration,
    pub(crate) chance: Chance,
    pub(crate) board: Board,
    /// Latest grant; tasks of any other one are refused.
    pub(crate) grant: AtomicU64,
    /// True once the stand-in leaves.
    pub(crate) leaving: watch::Sender<bool>,
    slots: Arc<Semaphore>,
    waiting: AtomicU32,
    running: Mutex<JoinSet<()>>,
}

/// `Payload` is a payload that sets the true run time.
#[derive(Deserialize)]
struct Payload {
    run_ms: u64,
}

/// `Planned` is one task that is about to wait for its slot.
struct Planned {
    id: TaskId,
    task: BatchTask,
    fault: TaskFault,
    start_until: Instant,
    /// Slot, if one was free when the batch arrived.
    slot: Option<OwnedSemaphorePermit>,
}

impl Backend {
    /// Creates the state of a stand-in that is not announced yet.
    pub(crate) fn new(announcement: Announcement, latency: Duration, chance: Chance) -> Self {
        Self {
            grant: AtomicU64::new(announcement.grant),
            latency,
            chance,
            board: Board::new(),
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
            Err(rejection) => return json_answer(rejection.status, &rejection.findings),
        };
        sleep(self.latency).await;
        let fault = self.chance.exchange();
        if fault == ExchangeFault::CloseBeforeStart {
            return close_without_answer();
        }
        let ends = self.clone().run_batch(&batch, received).await;
        match fault {
            ExchangeFault::CloseAfterRun => return close_without_answer(),
            ExchangeFault::Silent => {
                self.left().await;
                return close_without_answer();
            }
            _ => sleep(self.latency).await,
        }
        let mut answer = self.answer(batch, ends);
        if fault == ExchangeFault::WrongAnswer {
            answer.job_id.push_str("-other");
        }
        json_answer(200, &answer)
    }

    /// Answers `POST /v1/tasks/cancel`.
    pub(crate) async fn cancel_tasks(self: Arc<Self>, request: Request) -> Response {
        let request: CancelRequest = match read_json(request, &BodyLimits::default()).await {
            Ok(request) => request,
            Err(rejection) => return json_answer(rejection.status, &rejection.findings),
        };
        sleep(self.latency).await;
        let incarnation = self.announcement.incarnation;
        let fates = if request.incarnation == incarnation {
            self.board.cancel(&request)
        } else {
            self.board.fates(&request)
        };
        sleep(self.latency).await;
        json_answer(200, &CancelAnswer { incarnation, fates })
    }

    /// Waits until the stand-in leaves.
    async fn left(&self) {
        let mut leaving = self.leaving.subscribe();
        // An error means that the stand-in is gone.
        let _ = leaving.wait_for(|leaving| *leaving).await;
    }

    /// Waits until every task has ended.
    pub(crate) async fn join(&self) {
        let mut running = {
            let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *running)
        };
        while running.join_next().await.is_some() {}
    }

    /// Ends every task at once.
    pub(crate) fn abort(&self) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.abort_all();
    }

    fn answer(&self, batch: TaskBatch, ends: Vec<TaskEnd>) -> TaskBatchAnswer {
        TaskBatchAnswer {
            server_id: self.announcement.server_id.clone(),
            incarnation: self.announcement.incarnation,
            job_id: batch.job_id,
            load: self.board.load(),
            ends,
        }
    }

    /// Says why a batch is refused as a whole.
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

    /// Runs a batch. Its tasks go on if the caller goes away.
    async fn run_batch(self: Arc<Self>, batch: &TaskBatch, received: Instant) -> Vec<TaskEnd> {
        if let Some(cause) = self.refusal(batch) {
            let refused = |task: &BatchTask| not_started(task, cause);
            return batch.tasks.iter().map(refused).collect();
        }
        let start_until = received + Duration::from_millis(batch.start_within_ms);
        let mut ends = Vec::with_capacity(batch.tasks.len());
        for task in &batch.tasks {
            let planned = Planned {
                id: (batch.job_id.clone(), task.index),
                task: task.clone(),
                fault: self.chance.task(),
                start_until,
                // Taken here so that the first tasks of a batch get the slots.
                slot: self.slots.clone().try_acquire_owned().ok(),
            };
            ends.push(self.clone().spawn(planned));
        }
        let mut whole = Vec::with_capacity(ends.len());
        for (end, task) in ends.into_iter().zip(&batch.tasks) {
            // The sender is lost only if the stand-in is aborted.
            let end = end.await;
            whole.push(end.unwrap_or_else(|_| ended(task, TaskStatus::Stopped, "aborted", 0)));
        }
        whole
    }

    fn spawn(self: Arc<Self>, planned: Planned) -> oneshot::Receiver<TaskEnd> {
        let (sender, receiver) = oneshot::channel();
        let backend = self.clone();
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        // Forgets the tasks that have ended.
        while running.try_join_next().is_some() {}
        running.spawn(async move {
            let end = backend.run_task(planned).await;
            // The caller may have gone away.
            let _ = sender.send(end);
        });
        receiver
    }

    async fn run_task(&self, mut planned: Planned) -> TaskEnd {
        let Some(cancelled) = self.board.wait(&planned.id) else {
            return not_started(&planned.task, "it was cancelled before");
        };
        let slot = match self.slot(&mut planned, &cancelled).await {
            Ok(slot) => slot,
            Err(cause) => {
                self.board.give_up(&planned.id);
                return not_started(&planned.task, cause);
            }
        };
        if Instant::now() > planned.start_until {
            self.board.give_up(&planned.id);
            return not_started(&planned.task, "its start deadline has passed");
        }
        if !self.board.start(&planned.id, &planned.task.payload) {
            self.board.give_up(&planned.id);
            return not_started(&planned.task, "it was cancelled");
        }
        let end = execute(&planned, &cancelled).await;
        // The slot is free before the sender learns of the end, so that it can
        // be used again at once.
        drop(slot);
        self.board.end(&planned.id);
        end
    }

    /// Takes a slot. Only a shared stand-in has tasks wait for one.
    async fn slot(
        &self,
        planned: &mut Planned,
        cancelled: &Notify,
    ) -> Result<OwnedSemaphorePermit, &'static str> {
        if let Some(slot) = planned.slot.take() {
            return Ok(slot);
        }
        if !self.announcement.shared {
            return Err("no slot is free");
        }
        let max_waiting = self.announcement.slots.saturating_mul(QUEUE_PER_SLOT);
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= max_waiting {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return Err("no slot is free and the queue is full");
        }
        let taking = timeout_at(planned.start_until, self.slots.clone().acquire_owned());
        let slot = tokio::select! {
            slot = taking => match slot {
                Ok(Ok(slot)) => Ok(slot),
                _ => Err("no slot was free until its start deadline"),
            },
            () = cancelled.notified() => Err("it was cancelled"),
        };
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        slot
    }
}

/// Runs a task for its time or until it is cancelled.
async fn execute(planned: &Planned, cancelled: &Notify) -> TaskEnd {
    let task = &planned.task;
    let (job, index) = &planned.id;
    let payload = serde_json::from_str::<Payload>(&task.payload);
    let length = Duration::from_millis(payload.map_or(task.run_ms, |payload| payload.run_ms));
    let length = match planned.fault {
        TaskFault::Straggle => length * STRAGGLE_FACTOR,
        TaskFault::Stop => length / 2,
        TaskFault::Fail | TaskFault::None => length,
    };
    let began = Instant::now();
    let is_cancelled = tokio::select! {
        () = sleep(length) => false,
        () = cancelled.notified() => true,
    };
    let run_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    match planned.fault {
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
