//! HTTP routes of an entry host.

use std::sync::Arc;

use hornbeam_core::api::backend::{Announcement, Withdrawal};
use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer};
use hornbeam_core::api::operator::CheckAnswer;
use hornbeam_core::ids::JobId;
use hornbeam_core::{Error, Finding, Place};
use hornbeam_timer::TimerService;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use super::announcement;
use super::input::{DispatchLoopHandle, DispatchLoopInput};
use super::job_ids::JobIdGenerator;
use super::metrics::EntryMetrics;
use super::submission;
use crate::config_watch::ConfigWatch;
use crate::credential;
use crate::lifecycle::{Lifecycle, LifecycleEvent, LifecycleState};
use crate::metrics::MessageKind;
use crate::reply::{self, BodyBudget, BodyError};

/// Maximum size of the body of a backend server's request, in bytes.
const MAX_BACKEND_BODY_BYTES: usize = 64 << 10;
/// HTTP status of the answer to a complete job.
const OK: u16 = 200;
/// HTTP status of the answer to invalid input.
const BAD_REQUEST: u16 = 400;

/// `Routes` answers the HTTP requests of an entry host.
#[derive(Debug)]
pub(crate) struct Routes {
    /// The event loop.
    pub(crate) event_loop: DispatchLoopHandle,
    /// Configuration in force at this host.
    pub(crate) config: ConfigWatch,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Metrics.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// Generator of the ids of new jobs.
    pub(crate) job_ids: JobIdGenerator,
    /// Credential of operators.
    pub(crate) operator_credential: Option<String>,
    /// Maximum size of a job body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Memory budget of the bodies of all jobs.
    pub(crate) bodies: BodyBudget,
}

/// Defines a handler that calls a method of the shared routes.
macro_rules! handler {
    ($routes:expr, $method:ident) => {{
        let routes = Arc::clone($routes);
        move |request: Request| async move { routes.$method(request).await }
    }};
}

/// Builds the router.
pub(crate) fn router(routes: &Arc<Routes>) -> Router {
    Router::new()
        .route("/v1/jobs", post(handler!(routes, submit)))
        .route("/v1/backend/announce", post(handler!(routes, announce)))
        .route("/v1/backend/withdraw", post(handler!(routes, withdraw)))
        .route("/v1/status", get(handler!(routes, status)))
        .route("/v1/drain", post(handler!(routes, drain)))
        .route("/livez", get(handler!(routes, livez)))
        .route("/readyz", get(handler!(routes, readyz)))
        .route("/metrics", get(handler!(routes, metrics)))
}

impl Routes {
    async fn submit(&self, request: Request) -> Response {
        let reading = reply::read_body(&self.timer, request, self.max_body_bytes, &self.bodies);
        let body = reading.await;
        let answer = match body {
            // The body's share of the budget is held until the job ends, because
            // its tasks use as much memory.
            Ok(body) => self.run_job(&body.bytes).await,
            Err(cause) => self.refuse_body(cause),
        };
        reply::json(status_of(&answer), &answer)
    }

    async fn run_job(&self, body: &[u8]) -> SubmitAnswer {
        let request = match submission::read(body) {
            Ok(request) => Arc::new(request),
            Err(refusal) => return *refusal,
        };
        let job_id: JobId = self.job_ids.next();
        let request_id = request.request_id.clone();
        // Dropped with the handler's future when the caller disconnects.
        let guard = self.event_loop.guard(job_id.clone());
        let submit = |answer| DispatchLoopInput::Submit(job_id, request, answer);
        let answer = self.event_loop.ask(submit).await;
        guard.disarm();
        answer.unwrap_or_else(|cause| unanswered_job(request_id, &cause))
    }

    fn refuse_body(&self, cause: BodyError) -> SubmitAnswer {
        let (reason, prefix, message) = match cause {
            BodyError::TooLarge(prefix) => {
                let message = format!("The body is larger than {} bytes.", self.max_body_bytes);
                (Reason::TooLarge, prefix, message)
            }
            BodyError::OverBudget(prefix) => {
                let message = "The host holds too many bodies now.".to_owned();
                (Reason::Overloaded, prefix, message)
            }
            BodyError::TimedOut => {
                let message = "The body did not arrive in time.".to_owned();
                (Reason::BadRequest, Vec::new(), message)
            }
            BodyError::ConnectionFailed(cause) => (Reason::BadRequest, Vec::new(), cause),
        };
        let request_id = submission::request_id(&prefix);
        let mut refusal = submission::refusal(request_id, reason, &message);
        refusal.findings = vec![Finding::new(Place::body(""), message)];
        refusal
    }

    async fn announce(&self, request: Request) -> Response {
        self.metrics.messages.count_request(MessageKind::Announce);
        let announcement: Announcement =
            match reply::read_json(request, MAX_BACKEND_BODY_BYTES).await {
                Ok(announcement) => announcement,
                Err(response) => return *response,
            };
        let findings = announcement::check(&announcement);
        if !findings.is_empty() {
            return reply::json(BAD_REQUEST, &CheckAnswer { findings });
        }
        let announce = |answer| DispatchLoopInput::Announce(announcement, answer);
        match self.event_loop.ask(announce).await {
            Ok(answer) => {
                self.metrics.messages.count_answer(MessageKind::Announce);
                reply::json(OK, &answer)
            }
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }

    async fn withdraw(&self, request: Request) -> Response {
        let withdrawal: Withdrawal = match reply::read_json(request, MAX_BACKEND_BODY_BYTES).await {
            Ok(withdrawal) => withdrawal,
            Err(response) => return *response,
        };
        let withdraw = |answer| DispatchLoopInput::Withdraw(withdrawal, answer);
        match self.event_loop.ask(withdraw).await {
            Ok(()) => reply::json(OK, &serde_json::json!({})),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }

    async fn status(&self, _request: Request) -> Response {
        match self.event_loop.ask(DispatchLoopInput::Status).await {
            Ok(status) => reply::json(OK, &status),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }

    async fn drain(&self, request: Request) -> Response {
        let expected = self.operator_credential.as_deref();
        if let Some(refused) = credential::refusal(request.headers(), expected, "/v1/drain") {
            return refused;
        }
        self.lifecycle.on(LifecycleEvent::Drain);
        reply::json(OK, &serde_json::json!({}))
    }

    async fn livez(&self, _request: Request) -> Response {
        if self.event_loop.is_live() {
            reply::text(OK, "live\n")
        } else {
            reply::text(503, "stopped\n")
        }
    }

    async fn readyz(&self, _request: Request) -> Response {
        match (self.lifecycle.state(), self.config.version()) {
            (LifecycleState::Ready, 0) => reply::text(503, "no configuration\n"),
            (LifecycleState::Ready, _) => reply::text(OK, "ready\n"),
            _ => reply::text(503, "not ready\n"),
        }
    }

    async fn metrics(&self, _request: Request) -> Response {
        match self.event_loop.ask(DispatchLoopInput::Status).await {
            Ok(status) => reply::text(OK, self.metrics.encode(&status)),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }
}

/// Gets the HTTP status of an answer.
fn status_of(answer: &SubmitAnswer) -> u16 {
    answer.reason.map_or(OK, Reason::http_status)
}

/// Builds the answer to a job that the event loop did not answer.
fn unanswered_job(request_id: String, cause: &Error) -> SubmitAnswer {
    let message = cause.to_string();
    match cause {
        Error::Refused(_) => submission::refusal(request_id, Reason::NotReady, &message),
        _ => SubmitAnswer {
            outcome: Outcome::Failed,
            ..submission::refusal(request_id, Reason::OutcomeUnknown, &message)
        },
    }
}
