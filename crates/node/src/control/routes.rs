//! HTTP routes of a control host.

use std::sync::Arc;

use hornbeam_core::api::operator::{
    ChangeRequest, CheckAnswer, CheckRequest, ControlStatus, EvacuationRequest,
};
use hornbeam_core::{Error, Findings};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use super::changes;
use super::evacuations::{self, Evacuations};
use super::input::{ControlInput, HistoryFilter};
use super::leader::LeaderClient;
use super::members;
use super::metrics::ControlMetrics;
use crate::lifecycle::{Lifecycle, LifecycleEvent, LifecycleState};
use crate::{credential, reply};

/// Maximum size of the body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
const OK: u16 = 200;

/// `Routes` answers the HTTP requests of a control host.
#[derive(Debug)]
pub(crate) struct Routes {
    /// Access to the leader and to this host's replica.
    pub(crate) leader: LeaderClient,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Metrics.
    pub(crate) metrics: ControlMetrics,
    /// The list of evacuated failure domains at this host.
    pub(crate) evacuations: Evacuations,
    /// Credential of operators.
    pub(crate) operator_credential: Option<String>,
}

/// Defines a handler that calls a method of the shared routes.
macro_rules! open_handler {
    ($routes:expr, $method:ident) => {{
        let routes = Arc::clone($routes);
        move |request: Request| async move { routes.$method(request).await }
    }};
}

/// Like `open_handler`, for requests that need the operators' credential.
macro_rules! operator_handler {
    ($routes:expr, $method:ident) => {{
        let routes = Arc::clone($routes);
        move |request: Request| async move {
            match routes.refusal(&request) {
                Some(refused) => refused,
                None => routes.$method(request).await,
            }
        }
    }};
}

/// Builds the router.
pub(crate) fn router(routes: &Arc<Routes>) -> Router {
    Router::new()
        .route("/v1/config/check", post(operator_handler!(routes, check)))
        .route(
            "/v1/config/changes",
            post(operator_handler!(routes, change)),
        )
        .route("/v1/config", get(operator_handler!(routes, config)))
        .route(
            "/v1/config/history",
            get(operator_handler!(routes, history)),
        )
        .route("/v1/members", post(operator_handler!(routes, members)))
        .route(
            "/v1/evacuations",
            get(operator_handler!(routes, evacuation_list))
                .post(operator_handler!(routes, evacuate)),
        )
        .route("/v1/status", get(operator_handler!(routes, status)))
        .route("/v1/drain", post(operator_handler!(routes, drain)))
        .route("/livez", get(open_handler!(routes, livez)))
        .route("/readyz", get(open_handler!(routes, readyz)))
        .route("/metrics", get(open_handler!(routes, metrics)))
}

impl Routes {
    fn refusal(&self, request: &Request) -> Option<Response> {
        let expected = self.operator_credential.as_deref();
        credential::refusal(request.headers(), expected, request.uri().path())
    }

    async fn check(&self, request: Request) -> Response {
        let files: CheckRequest = match reply::read_json(request, MAX_BODY_BYTES).await {
            Ok(files) => files,
            Err(response) => return *response,
        };
        let findings = match hornbeam_config::load(&files) {
            Ok(_) => Findings::new(),
            Err(Error::Invalid(findings)) => findings,
            Err(cause) => return reply::text(500, cause.to_string()),
        };
        reply::json(OK, &CheckAnswer { findings })
    }

    async fn change(&self, request: Request) -> Response {
        let change: ChangeRequest = match reply::read_json(request, MAX_BODY_BYTES).await {
            Ok(change) => change,
            Err(response) => return *response,
        };
        let outcome = if self.lifecycle.state() == LifecycleState::Ready {
            changes::apply(&self.leader, change).await
        } else {
            changes::unavailable("This control host is draining.")
        };
        self.metrics.change_answered(changes::label(&outcome));
        reply::json(changes::http_status(&outcome), &outcome)
    }

    async fn members(&self, request: Request) -> Response {
        let request = match reply::read_json(request, MAX_BODY_BYTES).await {
            Ok(request) => request,
            Err(response) => return *response,
        };
        let outcome = if self.lifecycle.state() == LifecycleState::Ready {
            members::change(&self.leader, request).await
        } else {
            members::unavailable("This control host is draining.")
        };
        reply::json(members::http_status(&outcome), &outcome)
    }

    async fn evacuate(&self, request: Request) -> Response {
        let order: EvacuationRequest = match reply::read_json(request, MAX_BODY_BYTES).await {
            Ok(order) => order,
            Err(response) => return *response,
        };
        let outcome = if self.lifecycle.state() == LifecycleState::Ready {
            self.evacuations.order(&self.leader, order).await
        } else {
            evacuations::unavailable("This control host is draining.")
        };
        reply::json(evacuations::http_status(&outcome), &outcome)
    }

    async fn evacuation_list(&self, _request: Request) -> Response {
        if !self.leader.confirm_read().await {
            return no_quorum();
        }
        reply::json(OK, &self.evacuations.list())
    }

    async fn config(&self, request: Request) -> Response {
        let version = match number(&request, "version") {
            Ok(version) => version,
            Err(response) => return *response,
        };
        if !self.leader.confirm_read().await {
            return no_quorum();
        }
        let read = |waiter| ControlInput::Config(version, waiter);
        match self.leader.event_loop.ask(read).await {
            Ok(Some(answer)) => reply::json(OK, &answer),
            Ok(None) => reply::text(404, "This version is not kept."),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }

    async fn history(&self, request: Request) -> Response {
        let from_version = match number(&request, "from_version") {
            Ok(version) => version.unwrap_or(0),
            Err(response) => return *response,
        };
        let filter = HistoryFilter {
            operator: parameter(&request, "operator"),
            from_version,
        };
        if !self.leader.confirm_read().await {
            return no_quorum();
        }
        let read = |waiter| ControlInput::History(filter, waiter);
        match self.leader.event_loop.ask(read).await {
            Ok(entries) => reply::json(OK, &entries),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }

    async fn status(&self, _request: Request) -> Response {
        match self.own_status().await {
            Ok(status) => reply::json(OK, &status),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }

    async fn drain(&self, _request: Request) -> Response {
        self.lifecycle.on(LifecycleEvent::Drain);
        reply::json(OK, &serde_json::json!({}))
    }

    async fn livez(&self, _request: Request) -> Response {
        if self.leader.event_loop.is_live() {
            reply::text(OK, "live\n")
        } else {
            reply::text(503, "stopped\n")
        }
    }

    /// Answers 200 only when changes can be accepted: the host does not drain
    /// and a leader is known.
    async fn readyz(&self, _request: Request) -> Response {
        if self.lifecycle.state() != LifecycleState::Ready {
            return reply::text(503, "not ready\n");
        }
        match self.own_status().await {
            Ok(status) if status.leader.is_some() => reply::text(OK, "ready\n"),
            _ => reply::text(503, "no leader\n"),
        }
    }

    async fn metrics(&self, _request: Request) -> Response {
        match self.own_status().await {
            Ok(status) => reply::text(OK, self.metrics.encode(&status, &self.evacuations.list())),
            Err(cause) => reply::text(503, cause.to_string()),
        }
    }

    async fn own_status(&self) -> hornbeam_core::Result<ControlStatus> {
        self.leader.event_loop.ask(ControlInput::Status).await
    }
}

fn no_quorum() -> Response {
    reply::text(503, "No leader confirmed by a quorum was found.")
}

/// Gets a query parameter.
fn parameter(request: &Request, name: &str) -> Option<String> {
    let query = request.uri().query().unwrap_or_default();
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Gets a query parameter that must be a whole number.
fn number(request: &Request, name: &str) -> Result<Option<u64>, Box<Response>> {
    let Some(value) = parameter(request, name) else {
        return Ok(None);
    };
    let message = format!("The parameter `{name}` must be a whole number.");
    let parsed = value.parse().map(Some);
    parsed.map_err(|_| Box::new(reply::text(400, message)))
}
