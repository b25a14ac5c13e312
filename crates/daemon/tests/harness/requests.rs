//! Jobs, changes and announcements that the tests send.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hornbeam_core::Result;
use hornbeam_core::api::backend::Announcement;
use hornbeam_core::api::caller::{SubmitRequest, TaskSpec};
use hornbeam_core::api::operator::{
    ChangeContent, ChangeOutcome, ChangeRequest, CheckRequest, SourceFile,
};
use hornbeam_http::{HttpClient, Reply};
use hornbeam_standin::{FaultPlan, StandinOptions};

use super::WAIT_TIMEOUT;
use super::history::Event;
use super::recorder::Recorder;

/// Base configuration of the sites in the tests.
pub const BASE_CONFIG: &str = r#"
site = "test"
failure_domains = ["fd-a", "fd-b"]
entry_hosts = 4

[services.parish-orders]
institution = "wickmaratne"
task_grace_ms = 1000

[institutions.wickmaratne]
max_queue_ms = 20000

[institutions.wickmaratne.teams.orders]
quota_slots = 40000

[institutions.wickmaratne.teams.festival]
quota_slots = 40000
"#;
/// Delay before an operator sends a change again.
const RESEND_DELAY: Duration = Duration::from_millis(20);
/// Timeout for the decision on a change. Within it, one control host may leave
/// a request unanswered for all of [`WAIT_TIMEOUT`].
const DECISION_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a change to control hosts in turn until it is decided.
pub async fn submit_change(
    client: &HttpClient,
    controls: &[SocketAddr],
    recorder: &Recorder,
    request: &ChangeRequest,
) -> ChangeOutcome {
    let sending = async {
        for address in controls.iter().cycle() {
            let path = "/v1/config/changes";
            let reply = client.post(*address, path, request, WAIT_TIMEOUT).await;
            let reply: Result<Reply<ChangeOutcome>> = reply;
            use ChangeOutcome::{Unavailable, Unknown};
            match reply.map(|reply| reply.body) {
                Ok(Unavailable { .. } | Unknown { .. }) | Err(_) => {}
                Ok(outcome) => return outcome,
            }
            tokio::time::sleep(RESEND_DELAY).await;
        }
        panic!("no control host is given")
    };
    let outcome = tokio::time::timeout(DECISION_TIMEOUT, sending).await;
    let outcome = outcome.expect("no decision on the change in time");
    if let ChangeOutcome::Accepted { version } = outcome {
        recorder.record(Event::Accepted {
            change: request.change_id.clone(),
            version,
        });
    }
    outcome
}

/// Builds a repeatable job of equal tasks that is valid for 60 s.
pub fn job(request_id: &str, tasks: usize, run_ms: u64) -> SubmitRequest {
    let task = TaskSpec {
        run_ms,
        ..TaskSpec::default()
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let valid_until = now.expect("a clock after 1970") + Duration::from_secs(60);
    SubmitRequest {
        request_id: request_id.into(),
        institution: "wickmaratne".into(),
        team: "orders".into(),
        service: "parish-orders".into(),
        repeatable: true,
        timeout_ms: 8_000,
        valid_until_unix_ms: Some(u64::try_from(valid_until.as_millis()).expect("a time")),
        tasks: vec![task; tasks],
    }
}

/// Builds a change to the base configuration with the given overlay.
pub fn change(id: &str, expected_version: u64, overlay: &str) -> ChangeRequest {
    ChangeRequest {
        expected_version,
        change_id: id.into(),
        operator: "nuwan".into(),
        reason: "test".into(),
        content: files(BASE_CONFIG, overlay),
    }
}

/// Builds the content of a change from the texts of the base and the overlay.
pub fn files(base: &str, overlay: &str) -> ChangeContent {
    let file = |name: &str, text: &str| SourceFile {
        name: name.into(),
        text: text.into(),
    };
    ChangeContent::Files(CheckRequest {
        base: file("base.toml", base),
        overlay: file("overlay.toml", overlay),
    })
}

/// Builds the announcement of a server with 8 slots.
pub fn announcement(id: &str, failure_domain: &str) -> Announcement {
    Announcement {
        server_id: id.into(),
        incarnation: 1,
        grant: 1,
        address: String::new(),
        failure_domain: failure_domain.into(),
        rack: "rack-1".into(),
        worker_id: format!("worker-{id}"),
        service: "parish-orders".into(),
        slots: 8,
        max_connections: 64,
        cpu_milli: 8_000,
        memory_mib: 8_192,
        accelerators: 0,
        shared: false,
    }
}

/// Builds the settings of a stand-in that announces itself to no entry host.
pub fn standin_options(announcement: Announcement) -> StandinOptions {
    StandinOptions {
        announcement,
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        entry_hosts: Vec::new(),
        latency: Duration::ZERO,
        faults: FaultPlan::default(),
        seed: 0,
    }
}
