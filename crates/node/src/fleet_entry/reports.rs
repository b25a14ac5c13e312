//! HTTP for the status reports of owned workers and for the readiness probe of
//! the load balancer.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_core::event::Event;
use hornbeam_core::ids::{HostId, WorkerId};
use hornbeam_core::log_event;
use hornbeam_fleet::{FleetInput, ReportAnswer};
use hornbeam_platform::{ControlCall, READINESS_PATH, control_call, read_report, report_answer};
use hornbeam_timer::TimerService;
use tokio::sync::watch;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;

use super::event_loop::FleetEntryState;
use super::input::{FleetLoopHandle, FleetLoopInput, ReportTimes};
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::reply::{self, BodyBudget};

/// Maximum size of a status report in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Limit on the bytes of all report bodies that are held at once.
const MAX_TOTAL_BODY_BYTES: usize = 4 << 20;

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// `ReportRoutes` answers the HTTP requests of the workers that this host owns.
#[derive(Debug)]
pub(crate) struct ReportRoutes {
    /// Id of this host.
    pub(crate) host_id: HostId,
    /// The event loop.
    pub(crate) event_loop: FleetLoopHandle,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// Port for status reports, the same on all entry hosts.
    pub(crate) report_port: u16,
}

/// Builds the router for status reports.
pub(crate) fn router(routes: ReportRoutes) -> Router {
    let routes = Arc::new(routes);
    let bodies = BodyBudget::new(MAX_TOTAL_BODY_BYTES);
    Router::new().fallback(move |request: Request| {
        let routes = Arc::clone(&routes);
        let bodies = bodies.clone();
        async move { routes.answer(request, &bodies).await }
    })
}

/// Builds the router for the readiness probe.
pub(crate) fn readiness_router(
    state: watch::Receiver<FleetEntryState>,
    lifecycle: &Arc<Lifecycle>,
) -> Router {
    let lifecycle = Arc::clone(lifecycle);
    Router::new().fallback(move |request: Request| {
        let is_ready = state.borrow().is_ready && lifecycle.state() == LifecycleState::Ready;
        async move {
            match (request.uri().path(), is_ready) {
                (READINESS_PATH, true) => reply::text(OK, "ready\n"),
                (READINESS_PATH, false) => reply::text(UNAVAILABLE, "not ready\n"),
                _ => reply::text(NOT_FOUND, "no such path\n"),
            }
        }
    })
}

impl ReportRoutes {
    async fn answer(&self, request: Request, bodies: &BodyBudget) -> Response {
        let call = control_call(request.method().as_str(), request.uri().path());
        let body = reply::read_body(&self.timer, request, MAX_REPORT_BYTES, bodies).await;
        let body = match body {
            Ok(body) => body,
            Err(cause) => return reply::body_error(&cause),
        };
        match call {
            Some(ControlCall::Report(worker_id)) => self.report(worker_id, &body.bytes).await,
            Some(ControlCall::Deregistration(worker_id)) => self.deregister(worker_id),
            _ => reply::text(NOT_FOUND, "no such call\n"),
        }
    }

    async fn report(&self, worker_id: WorkerId, body: &[u8]) -> Response {
        let received = match read_report(worker_id.clone(), body) {
            Ok(received) => received,
            Err(cause) => {
                log_event!(
                    Event::MessageRejected, host = self.host_id, worker = worker_id;
                    "invalid status report of worker {worker_id}: {}",
                    reply::join_findings(&cause.findings)
                );
                return reply::invalid(cause.findings);
            }
        };
        let report = Box::new(received.report);
        let times = ReportTimes {
            clock_ms: received.clock_ms,
            cold_remaining_ms: received.cold_remaining_ms,
        };
        let asking = self
            .event_loop
            .ask(|sender| FleetLoopInput::Report(report, times, sender));
        match asking.await {
            Ok(ReportAnswer::Taken) => reply::json(OK, &report_answer(None)),
            Ok(ReportAnswer::Moved(owner)) => {
                let next = SocketAddr::new(owner.ip(), self.report_port);
                reply::json(OK, &report_answer(Some(next)))
            }
            Ok(ReportAnswer::Declined) => reply::text(UNAVAILABLE, "the host is leaving\n"),
            Err(cause) => reply::text(UNAVAILABLE, cause.to_string()),
        }
    }

    fn deregister(&self, worker_id: WorkerId) -> Response {
        let departed = FleetLoopInput::Fleet(FleetInput::Departed(worker_id));
        match self.event_loop.send(departed) {
            Ok(()) => reply::json(OK, &serde_json::json!({})),
            Err(cause) => reply::text(UNAVAILABLE, cause.to_string()),
        }
    }
}
