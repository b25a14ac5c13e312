//! Recording of the history of a run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hornbeam_core::Result;
use hornbeam_core::api::caller::{SubmitAnswer, SubmitRequest};
use hornbeam_http::{HttpClient, Reply};
use hornbeam_standin::StartRecord;
use serde::Deserialize;

use super::history::{Event, Submission, Violation, check};

/// Time that a caller waits for an answer in addition to its job's timeout.
const ANSWER_MARGIN: Duration = Duration::from_secs(3);

/// Payload of the tasks of [`Recorder::submit`].
#[derive(Deserialize)]
struct TaskPayload {
    submission: Submission,
}

/// `Recorder` records the history of a run.
#[derive(Clone)]
pub struct Recorder {
    /// Start of the run; times in the history are relative to it.
    pub start_time: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// Creates an empty history that starts now.
    pub fn new() -> Self {
        Self {
            start_time: Instant::now(),
            events: Arc::default(),
        }
    }

    /// Appends an event.
    pub fn record(&self, event: Event) {
        self.events.lock().expect("the events").push(event);
    }

    /// Gets what a function extracts from the events.
    pub fn select<T>(&self, extract: impl FnMut(&Event) -> Option<T>) -> Vec<T> {
        let events = self.events.lock().expect("the events");
        events.iter().filter_map(extract).collect()
    }

    /// Gets the guarantees that the history violates.
    pub fn violations(&self) -> Vec<Violation> {
        let events = self.events.lock().expect("the events");
        check(&events).into_iter().collect()
    }

    /// Records the task starts of one server. `server_start` is the time of its
    /// own start since the run began.
    pub fn record_starts(&self, id: &str, server_start: Duration, starts: Vec<StartRecord>) {
        for start in starts {
            let payload: TaskPayload = serde_json::from_str(&start.payload).expect("a payload");
            let (job, index) = start.task;
            self.record(Event::Started {
                server: id.into(),
                job,
                submission: payload.submission,
                index,
                at: server_start + start.at,
            });
        }
    }

    /// Submits a job once and records the submission and its answer.
    pub async fn submit(
        &self,
        client: &HttpClient,
        entry: SocketAddr,
        request: &SubmitRequest,
    ) -> Result<Reply<SubmitAnswer>> {
        let mut request = request.clone();
        let submission = {
            let mut events = self.events.lock().expect("the events");
            let submission = events.len() as Submission + 1;
            events.push(Event::Submitted {
                submission,
                request_id: request.request_id.clone(),
                tasks: request.tasks.len(),
                repeatable: request.repeatable,
            });
            submission
        };
        for task in &mut request.tasks {
            task.payload = format!("{{\"run_ms\":{},\"submission\":{submission}}}", task.run_ms);
        }
        let timeout = Duration::from_millis(request.timeout_ms) + ANSWER_MARGIN;
        let reply: Result<Reply<SubmitAnswer>> =
            client.post(entry, "/v1/jobs", &request, timeout).await;
        if let Ok(reply) = &reply {
            self.record(Event::Answered {
                submission,
                answer: reply.body.clone(),
            });
        }
        reply
    }
}
