//! HTTP for callers: submission of jobs and counts of pending jobs.

use std::sync::Arc;

use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;
use hornbeam_core::{Error, log_event};
use hornbeam_fleet::{JobKey, JobOutcome, NotRun, Queue, QueueTable};
use hornbeam_platform::{
    CallerPath, DEADLINE_HEADER, JobRequest, caller_path, job_answer, pending_jobs_answer, read_job,
};
use hornbeam_timer::TimerService;
use tokio::sync::watch;
use volo_http::http::header::{CONNECTION, HOST};
use volo_http::http::{HeaderValue, Method};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;

use super::event_loop::FleetEntryState;
use super::input::{FleetLoopHandle, FleetLoopInput};
use crate::reply::{self, BodyBudget};

/// Limit on the bytes of all job bodies that are held at once.
const MAX_TOTAL_BODY_BYTES: usize = 16 << 20;

const BAD_REQUEST: u16 = 400;
const METHOD_NOT_ALLOWED: u16 = 405;
const GONE: u16 = 410;
const UNAVAILABLE: u16 = 503;

/// `CallerRoutes` answers the HTTP requests of callers.
#[derive(Debug)]
pub(crate) struct CallerRoutes {
    host_id: HostId,
    event_loop: FleetLoopHandle,
    state: watch::Receiver<FleetEntryState>,
    timer: TimerService,
    bodies: BodyBudget,
}

/// Builds the router.
pub(crate) fn router(routes: CallerRoutes) -> Router {
    let routes = Arc::new(routes);
    Router::new().fallback(move |request: Request| {
        let routes = Arc::clone(&routes);
        async move {
            let response = routes.answer(request).await;
            routes.close_if_draining(response)
        }
    })
}

impl CallerRoutes {
    pub(crate) fn new(
        host_id: HostId,
        event_loop: FleetLoopHandle,
        state: watch::Receiver<FleetEntryState>,
        timer: TimerService,
    ) -> Self {
        Self {
            host_id,
            event_loop,
            state,
            timer,
            bodies: BodyBudget::new(MAX_TOTAL_BODY_BYTES),
        }
    }

    async fn answer(&self, request: Request) -> Response {
        let Some(queues) = self.state.borrow().queues.clone() else {
            return job_answer(JobOutcome::NotRun(NotRun::NotReady));
        };
        let path = request.uri().path().to_owned();
        let Some(queue) = queues.find(host_name(&request), &path) else {
            self.log_rejected(&path, "no such queue");
            return job_answer(JobOutcome::NotRun(NotRun::UnknownQueue));
        };
        match (request.method(), caller_path(queue, &path)) {
            (&Method::POST, CallerPath::Job(job)) => {
                self.submit(&queues, queue, job, request).await
            }
            (&Method::GET, CallerPath::Queue) => self.pending_jobs(queue).await,
            // Jobs are not stored, so only the submitting call knows its job.
            (&Method::GET | &Method::DELETE, CallerPath::Job(_)) => {
                reply::text(GONE, "no such job is stored\n")
            }
            (&Method::POST | &Method::GET | &Method::DELETE, _) => {
                self.log_rejected(&path, "the job id is not 16 hexadecimal digits");
                reply::text(BAD_REQUEST, "a job id has 16 hexadecimal digits\n")
            }
            _ => reply::text(METHOD_NOT_ALLOWED, "no such method\n"),
        }
    }

    /// Marks the connection to be closed after this answer if the host drains.
    fn close_if_draining(&self, mut response: Response) -> Response {
        if self.state.borrow().closes_caller_connections {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn submit(
        &self,
        queues: &QueueTable,
        queue: &Queue,
        job: JobKey,
        request: Request,
    ) -> Response {
        let deadline_ms = deadline_ms(&request);
        let max_bytes = queues.limits.max_body_bytes;
        let body = reply::read_body(&self.timer, request, max_bytes, &self.bodies).await;
        let body = match body {
            Ok(body) => body,
            Err(cause) => {
                self.log_rejected(&format!("job {job:016x}"), "its body could not be read");
                return reply::body_error(&cause);
            }
        };
        let submission = match read_job(job, queue, deadline_ms, &body.bytes) {
            Ok(JobRequest::Run(submission)) => submission,
            Ok(JobRequest::Unsupported(feature)) => {
                log_event!(
                    Event::FleetJobRefused, host = self.host_id;
                    "job {job:016x} of queue {} refused, nothing ran: {feature} is not supported",
                    queue.name
                );
                return reply::text(UNAVAILABLE, format!("not run: no support for {feature}\n"));
            }
            Err(rejected) => {
                let findings = reply::join_findings(&rejected.findings);
                self.log_rejected(&format!("job {job:016x}"), &findings);
                return reply::json(rejected.status, &rejected.findings);
            }
        };
        drop(body);
        notice_disconnect().await;
        match self.event_loop.submit(submission).await {
            Ok(outcome) => job_answer(outcome),
            Err(Error::Refused(_)) => job_answer(JobOutcome::NotRun(NotRun::Draining)),
            Err(_) => job_answer(JobOutcome::TimedOut),
        }
    }

    async fn pending_jobs(&self, queue: &Queue) -> Response {
        let name = queue.name.clone();
        match self
            .event_loop
            .ask(|sender| FleetLoopInput::PendingJobs(name, sender))
            .await
        {
            Ok(jobs) => pending_jobs_answer(jobs),
            Err(cause) => reply::text(UNAVAILABLE, cause.to_string()),
        }
    }

    fn log_rejected(&self, what: &str, reason: &str) {
        log_event!(
            Event::MessageRejected, host = self.host_id;
            "a caller's request for {what} is rejected: {reason}"
        );
    }
}

/// Lets the server read on, so that it drops this call if the caller has closed its
/// connection. While this host stood still, the caller may have sent its job to
/// another host.
async fn notice_disconnect() {
    // The first turn may end within the poll in which the server read the body.
    for _ in 0..2 {
        tokio::task::yield_now().await;
    }
}

/// Gets the host name of a request without its port.
fn host_name(request: &Request) -> &str {
    let header = request.headers().get(HOST);
    let name = header.and_then(|value| value.to_str().ok());
    let name = name.or_else(|| request.uri().host()).unwrap_or_default();
    name.split(':').next().unwrap_or_default()
}

fn deadline_ms(request: &Request) -> Option<u64> {
    let header = request.headers().get(DEADLINE_HEADER)?;
    let text = header.to_str().ok()?;
    text.trim().parse::<f64>().ok().map(|ms| ms.max(0.0) as u64)
}
