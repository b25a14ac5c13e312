//! HTTP routes of a control host for operators and workers of the platform.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{PublishCommand, PublishResult, PublishedDocument};
use hornbeam_core::api::operator::{EvacuationOutcome, EvacuationRequest};
use hornbeam_core::event::Event;
use hornbeam_core::ids::{FailureDomainId, HostId, WorkerId};
use hornbeam_core::{Error, Findings, log_event};
use hornbeam_fleet::ReportAnswer;
use hornbeam_platform::{
    ControlCall, ReceivedReport, control_call, read_document, read_report, report_answer,
};
use hornbeam_timer::TimerService;
use hornbeam_transport::Link;
use tokio::sync::watch;
use volo_http::request::Request as HttpRequest;
use volo_http::response::Response;
use volo_http::server::Router;

use super::super::evacuations::Evacuations;
use super::super::leader::LeaderClient;
use super::registry::EntryRegistry;
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::reply::{self, BodyBudget};
use crate::wire::{PublishAnswer, Request, RequestAnswer};

/// Maximum size of a document in bytes; one with 400 queues has about 100 KB.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Limit on the bytes of all request bodies that are held at once.
const MAX_TOTAL_BODY_BYTES: usize = 16 << 20;

/// Timeout of a report at one entry host. A worker turns to another host after
/// one second, which must leave time to try a second entry host.
const RELAY_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum number of entry hosts to which a report is relayed in turn.
const MAX_RELAYS: usize = 2;

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// `FleetRoutes` answers the HTTP requests of the platform's operators and
/// workers.
#[derive(Debug)]
pub(crate) struct FleetRoutes {
    /// Id of this host.
    pub(crate) host_id: HostId,
    /// Access to the leader and to this host's replica.
    pub(crate) leader: LeaderClient,
    /// The document in force at this host.
    pub(crate) document: watch::Sender<PublishedDocument>,
    /// The list of evacuated failure domains at this host.
    pub(crate) evacuations: Evacuations,
    /// Registered entry hosts.
    pub(crate) registry: Arc<EntryRegistry>,
    /// Clock and timers.
    pub(crate) timer: TimerService,
    /// The life cycle of the process.
    pub(crate) lifecycle: Arc<Lifecycle>,
}

/// Builds the router.
pub(crate) fn router(routes: Arc<FleetRoutes>) -> Router {
    let bodies = BodyBudget::new(MAX_TOTAL_BODY_BYTES);
    Router::new().fallback(move |request: HttpRequest| {
        let routes = Arc::clone(&routes);
        let bodies = bodies.clone();
        async move { routes.answer(request, &bodies).await }
    })
}

impl FleetRoutes {
    async fn answer(&self, request: HttpRequest, bodies: &BodyBudget) -> Response {
        let call = control_call(request.method().as_str(), request.uri().path());
        let Some(call) = call else {
            return reply::text(NOT_FOUND, "no such call\n");
        };
        // These calls have no body; one that is sent nevertheless is not read.
        let call = match call {
            ControlCall::ReadConfiguration => return self.read().await,
            ControlCall::Evacuation(failure_domain) => {
                return self.evacuate(failure_domain, true).await;
            }
            ControlCall::ReturnToService(failure_domain) => {
                return self.evacuate(failure_domain, false).await;
            }
            call => call,
        };
        let body = reply::read_body(&self.timer, request, MAX_DOCUMENT_BYTES, bodies).await;
        let body = match body {
            Ok(body) => body,
            Err(cause) => return reply::body_error(&cause),
        };
        match call {
            ControlCall::Publish => self.publish(&body.bytes).await,
            ControlCall::Report(worker_id) => self.report(worker_id, &body.bytes).await,
            ControlCall::Deregistration(worker_id) => self.deregister(worker_id).await,
            ControlCall::Evacuation(_)
            | ControlCall::ReadConfiguration
            | ControlCall::ReturnToService(_) => reply::text(NOT_FOUND, "no such call\n"),
        }
    }

    async fn evacuate(&self, failure_domain: FailureDomainId, is_evacuated: bool) -> Response {
        let order = EvacuationRequest {
            failure_domain,
            is_evacuated,
        };
        let outcome = self.evacuations.order(&self.leader, order).await;
        match outcome {
            EvacuationOutcome::Acknowledged { .. } => reply::json(OK, &serde_json::json!({})),
            EvacuationOutcome::Invalid { findings } => reply::invalid(findings),
            EvacuationOutcome::Unavailable { message } | EvacuationOutcome::Unknown { message } => {
                reply::text(UNAVAILABLE, format!("{message}\n"))
            }
        }
    }

    async fn publish(&self, body: &[u8]) -> Response {
        let checked = std::str::from_utf8(body)
            .map_err(|_| Findings::new())
            .and_then(|text| read_document(text).map(|table| (text, table.version)));
        let (text, version) = match checked {
            Ok(checked) => checked,
            Err(findings) => {
                log_event!(
                    Event::PublishRejected, host = self.host_id;
                    "invalid document of {} bytes: {}",
                    body.len(), reply::join_findings(&findings)
                );
                return reply::invalid(findings);
            }
        };
        if self.lifecycle.state() != LifecycleState::Ready {
            return reply::text(UNAVAILABLE, "this control host is leaving\n");
        }
        let command = PublishCommand {
            version,
            document: text.to_owned(),
            proposed_unix_ms: 0,
        };
        let answer = self.leader.publish(&command).await;
        log_event!(
            Event::PublishAccepted, host = self.host_id;
            "document of version {version} with {} bytes: {answer:?}", text.len()
        );
        match answer {
            PublishAnswer::Decided(PublishResult::InForce | PublishResult::Superseded(_)) => {
                reply::json(OK, &serde_json::json!({}))
            }
            PublishAnswer::Refused(cause) => reply::text(413, format!("{cause}\n")),
            PublishAnswer::NotLeader(_) | PublishAnswer::Unknown => {
                reply::text(UNAVAILABLE, "no leader can be reached\n")
            }
        }
    }

    /// Answers with the newest document, or with an error if no quorum confirms
    /// that it is the newest.
    async fn read(&self) -> Response {
        if !self.leader.confirm_read().await {
            return reply::text(UNAVAILABLE, "the newest document cannot be confirmed\n");
        }
        let document = self.document.borrow().clone();
        if document.version == 0 {
            return reply::text(NOT_FOUND, "no document was published\n");
        }
        reply::json_text(OK, &document.text)
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
        self.relay(received).await
    }

    /// Relays a report to an entry host, which owns the worker from then on.
    async fn relay(&self, received: ReceivedReport) -> Response {
        let report = &received.report;
        let now = self.timer.now();
        let candidates = self.registry.candidates(report, MAX_RELAYS, now);
        let asked = candidates.len();
        for candidate in candidates {
            match announce(&candidate.link, &received).await {
                Ok(RequestAnswer::Announced(ReportAnswer::Taken)) => {
                    let worker_id = &report.worker_id;
                    self.registry
                        .record_owner(worker_id, &candidate.host_id, now);
                    let next = report_answer(Some(candidate.report_address));
                    return reply::json(OK, &next);
                }
                Ok(_) => {
                    self.registry
                        .record_declined(&report.worker_id, &candidate.host_id, now);
                }
                Err(_) => self.registry.record_unanswered(&candidate.host_id),
            }
        }
        log_event!(
            Event::ReportDeclined, host = self.host_id, worker = report.worker_id;
            "no entry host accepted the report of worker {}; {asked} were asked", report.worker_id
        );
        reply::text(UNAVAILABLE, "no entry host took the report\n")
    }

    async fn deregister(&self, worker_id: WorkerId) -> Response {
        if let Some(link) = self.registry.owner_link(&worker_id) {
            let request = Request::Departed(worker_id.clone());
            let answer: hornbeam_core::Result<RequestAnswer> =
                link.call(&request, RELAY_TIMEOUT).await;
            if let Err(cause) = answer {
                log_event!(
                    Event::ReportDeclined, host = self.host_id, worker = worker_id;
                    "notifying the owner of worker {worker_id} of its deregistration failed: {cause}"
                );
            }
        }
        reply::json(OK, &serde_json::json!({}))
    }
}

/// Relays a report to an entry host.
async fn announce(link: &Link, received: &ReceivedReport) -> hornbeam_core::Result<RequestAnswer> {
    let report = Box::new(received.report.clone());
    if let Some(clock_ms) = received.clock_ms {
        let request = Request::AnnounceAt(report.clone(), clock_ms);
        let answer = link.call(&request, RELAY_TIMEOUT).await;
        // A host of a former version does not know the request.
        if !matches!(answer, Err(Error::Refused(_))) {
            return answer;
        }
    }
    link.call(&Request::Announce(report), RELAY_TIMEOUT).await
}
