//! Validation of requests against the configuration.

use hornbeam_core::Findings;
use hornbeam_core::api::caller::{Reason, SubmitRequest, TaskSpec};
use hornbeam_core::config::{Configuration, Service};

use crate::admission::{Refusal, finding};

/// Maximum length of a request id in characters.
const MAX_REQUEST_ID_CHARS: usize = 64;

/// `Terms` are the configured values under which a job runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    pub(crate) institution_weight: u32,
    pub(crate) team_weight: u32,
    pub(crate) max_tasks_per_exchange: u32,
    pub(crate) max_queue_ms: u64,
    pub(crate) task_grace_ms: u64,
}

/// Looks up the terms of a job in the configuration.
pub(crate) fn find_terms(
    config: &Configuration,
    institution: &str,
    team: &str,
    service: &str,
) -> Result<Terms, Refusal> {
    let found_institution = config.institutions.get(institution);
    let found_team = found_institution.and_then(|terms| terms.teams.get(team));
    let found_service = config.services.get(service);
    let (Some(terms), Some(found_team), Some(found_service)) =
        (found_institution, found_team, found_service)
    else {
        let names = [
            (found_institution.is_none(), "institution", institution),
            (found_team.is_none(), "team", team),
            (found_service.is_none(), "service", service),
        ];
        let missing = names.iter().filter(|(missing, _, _)| *missing);
        let missing: Vec<_> = missing
            .map(|(_, kind, id)| format!("{kind} `{id}`"))
            .collect();
        let message = format!("Not configured: {}.", missing.join(", "));
        return Err(Refusal::new(Reason::NotConfigured, message));
    };
    Ok(Terms {
        institution_weight: terms.weight,
        team_weight: found_team.weight,
        max_tasks_per_exchange: terms.max_tasks_per_exchange.max(1),
        max_queue_ms: terms.max_queue_ms,
        task_grace_ms: found_service.task_grace_ms,
    })
}

/// Validates the fields of a request and reports every problem. A service that
/// is not configured has the default limits.
pub(crate) fn validate_request(
    config: &Configuration,
    request: &SubmitRequest,
) -> Result<(), Refusal> {
    let defaults = Service::default();
    let service = config.services.get(&request.service).unwrap_or(&defaults);
    let mut findings = Findings::new();
    validate_fields(service, request, &mut findings);
    for (index, task) in request.tasks.iter().enumerate() {
        validate_task(service, index, task, &mut findings);
    }
    if findings.is_empty() {
        return Ok(());
    }
    let message = format!("The request has {} findings.", findings.len());
    Err(Refusal {
        reason: Reason::BadRequest,
        message,
        findings,
    })
}

fn validate_fields(service: &Service, request: &SubmitRequest, findings: &mut Findings) {
    if !is_request_id(&request.request_id) {
        let message = "A request id has 1 to 64 characters of [A-Za-z0-9._-].";
        findings.push(finding("request_id", message));
    }
    if request.timeout_ms == 0 || request.timeout_ms > service.max_timeout_ms {
        let message = format!("The timeout must be 1 to {} ms.", service.max_timeout_ms);
        findings.push(finding("timeout_ms", message));
    }
    if !request.repeatable && request.valid_until_unix_ms.is_none() {
        let message = "A request that is not repeatable needs this time.";
        findings.push(finding("valid_until_unix_ms", message));
    }
    let max_tasks = service.max_tasks_per_job as usize;
    if request.tasks.is_empty() || request.tasks.len() > max_tasks {
        let message = format!("A job has 1 to {max_tasks} tasks.");
        findings.push(finding("tasks", message));
    }
}

fn validate_task(service: &Service, index: usize, task: &TaskSpec, findings: &mut Findings) {
    let max_bytes = service.max_payload_bytes;
    if task.payload.len() > max_bytes as usize {
        let message = format!("A payload has at most {max_bytes} bytes.");
        findings.push(finding(format!("tasks[{index}].payload"), message));
    }
}

fn is_request_id(id: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    (1..=MAX_REQUEST_ID_CHARS).contains(&id.len()) && id.chars().all(allowed)
}
