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
use super::input::{ShellHandle, ShellInput};
use super::job_ids::JobIds;
use super::metrics::EntryMetrics;
use super::submission;
use crate::config_watch::ConfigWatch;
use crate::credential;
use crate::lifecycle::{Lifecycle, LifecycleEvent, LifecycleState};
use crate::metrics::MessageKind;
use crate::reply::{self, BodyBudget, BodyError};

/// Largest body of a message of a backend server, in bytes.
const MAX_BACKEND_BODY_BYTES: usize = 64 << 10;
/// HTTP status of a complete job.
const OK: u16 = 200;
/// HTTP status of input that is not as documented.
const BAD_REQUEST: u16 = 400;

/// `Routes` answers the HTTP requests of an entry host.
#[derive(Debug)]
pub(crate) struct Routes {
    /// The shell loop.
    pub(crate) shell: ShellHandle,
    /// What is in force here.
    pub(crate) config: ConfigWatch,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Metrics.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// The time.
    pub(crate) timer: TimerService,
    /// Ids of new jobs.
    pub(crate) job_ids: JobIds,
    /// Credential of operators.
    pub(crate) operator_credential: Option<String>,
    /// Largest body of a job, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Room for the bodies of all jobs.
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
            // The body's part of the budget is held until the job ends, because
            // its tasks hold as much memory.
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
        let guard = self.shell.guard(job_id.clone());
        let submit = |answer| ShellInput::Submit(job_id, request, answer);
        let answer = self.shell.ask(submit).await;
        guard.disarm();
        answer.unwrap_or_else(|cause| stopped_host(request_id, &cause))
    }

    fn refuse_body(&self, cause: BodyError) -> SubmitAnswer {
        let (reason, prefix, message) = match cause {
            BodyError::TooLarge(prefix) => {
                let message = format!("The body is larger than {} bytes.", self.max_body_bytes);
                (Reason::TooLarge, prefix, message)
            }
            BodyError::NoRoom(prefix) => {
                let message = "The host holds too many bodies now.".to_owned();
                (Reason::Overloaded, prefix, message)
            }
            BodyError::Late => {
                let message = "The body did not arrive in time.".to_owned();
                (Reason::BadRequest, Vec::new(), message)
            }
            BodyError::Broken(cause) => (Reason::BadRequest, Vec::new(), cause),
        };
        let request_id = submission::request_id(&prefix);
        let mut refusal = submission::refusal(request_id, reason, &message);
        refusal.findings = vec![Finding::new(Place::body(""), message)];
        refusal
    }

    async fn announce(&self, request: Request) -> Response {
        self.metrics.messages.request(MessageKind::Announce);
        let announcement: Announcement =
            match reply::read_json(request, MAX_BACKEND_BODY_BYTES).await {
                Ok(announcement) => announcement,
                Err(response) => return *response,
            };
        let findings = announcement::check(&announcement);
        if !findings.is_empty() {
            return reply::json(BAD_REQUEST, &CheckAnswer { findings });
        }
        let announce = |answer| ShellInput::Announce(announcement, answer);
        match self.shell.ask(announce).await {
            Ok(answer) => {
                self.metrics.messages.answer(MessageKind::Announce);
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
        let withdraw = |answer| ShellInput::Withdraw(withdrawal, answer);
        match self.shell.ask(withdraw).await {
            Ok(()) => reply::json(OK, &serde_json::json!({})),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }

    async fn status(&self, _request: Request) -> Response {
        match self.shell.ask(ShellInput::Status).await {
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
        if self.shell.is_live() {
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
        match self.shell.ask(ShellInput::Status).await {
            Ok(status) => reply::text(OK, self.metrics.encode(&status)),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }
}

/// Gets the HTTP status of an answer.
fn status_of(answer: &SubmitAnswer) -> u16 {
    answer.reason.map_or(OK, Reason::http_status)
}

/// Builds the answer to a job that the shell loop did not answer.
fn stopped_host(request_id: String, cause: &Error) -> SubmitAnswer {
    let message = cause.to_string();
    match cause {
        Error::Refused(_) => submission::refusal(request_id, Reason::NotReady, &message),
        _ => SubmitAnswer {
            outcome: Outcome::Failed,
            ..submission::refusal(request_id, Reason::OutcomeUnknown, &message)
        },
    }
}
