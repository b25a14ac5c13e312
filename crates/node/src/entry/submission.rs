//! Parsing of a submitted job into a request or all findings about it.

use std::fmt;

use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer, SubmitRequest, TaskSpec};
use hornbeam_core::ids::RequestId;
use hornbeam_core::{Finding, Findings, Place};
use serde::Deserializer;
use serde::de::{DeserializeOwned, IgnoredAny, MapAccess, Visitor};
use serde_json::{Map, Value};

/// Maximum length of a request id, in characters.
const MAX_REQUEST_ID_CHARS: usize = 64;
/// Maximum number of tasks of a job that any configuration allows. A longer list
/// is refused before the dispatcher gets it.
const MAX_TASKS: usize = 570;
/// Maximum size of a body whose problems are all listed, in bytes. The list is
/// made from a JSON tree, which takes many times the memory of the text; for
/// larger bodies only the first problem is reported.
const MAX_DIAGNOSED_BYTES: usize = 1 << 20;
/// Maximum number of findings in one answer.
const MAX_FINDINGS: usize = 100;
/// Fields of a job; any other field is a finding.
const FIELDS: &[&str] = &[
    "institution",
    "repeatable",
    "request_id",
    "service",
    "tasks",
    "team",
    "timeout_ms",
    "valid_until_unix_ms",
];

/// Parses a job from the body of a request.
///
/// # Errors
/// The refusal to answer with. It contains the request id if that can be read.
pub(crate) fn read(body: &[u8]) -> Result<SubmitRequest, Box<SubmitAnswer>> {
    let findings = match serde_json::from_slice::<SubmitRequest>(body) {
        Ok(request) => {
            let findings = check(&request);
            if findings.is_empty() {
                return Ok(request);
            }
            findings
        }
        Err(_) => diagnose(body),
    };
    let message = "The body has findings.";
    let mut refusal = refusal(request_id(body), Reason::BadRequest, message);
    refusal.findings = findings;
    Err(Box::new(refusal))
}

/// Builds a refusal; no task of the request has run.
pub(crate) fn refusal(request_id: RequestId, reason: Reason, message: &str) -> SubmitAnswer {
    SubmitAnswer {
        request_id,
        job_id: None,
        outcome: Outcome::Refused,
        reason: Some(reason),
        message: message.to_owned(),
        findings: Findings::new(),
        results: Vec::new(),
        elapsed_ms: 0,
    }
}

/// Gets the request id from a body that may be truncated or malformed after it;
/// empty if there is none.
pub(crate) fn request_id(body: &[u8]) -> RequestId {
    let mut found = RequestId::new();
    let mut reader = serde_json::Deserializer::from_slice(body);
    // An error after the id does not matter here.
    let _ = reader.deserialize_map(RequestIdVisitor { found: &mut found });
    found
}

/// `RequestIdVisitor` stores the request id as soon as it is read.
struct RequestIdVisitor<'a> {
    found: &'a mut RequestId,
}

impl<'de> Visitor<'de> for RequestIdVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        while let Some(key) = fields.next_key::<String>()? {
            if key == "request_id" {
                *self.found = fields.next_value()?;
            } else {
                fields.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

/// Validates what does not depend on the configuration.
fn check(request: &SubmitRequest) -> Findings {
    let mut findings = Findings::new();
    let mut report = |path: &str, message: &str| {
        findings.push(Finding::new(Place::body(path), message));
    };
    if !is_request_id(&request.request_id) {
        let message = "It must have 1 to 64 characters of A-Z, a-z, 0-9, `.`, `_` and `-`.";
        report("request_id", message);
    }
    if request.timeout_ms == 0 {
        report("timeout_ms", "It must be at least 1.");
    }
    if request.tasks.is_empty() {
        report("tasks", "A job needs at least one task.");
    }
    if request.tasks.len() > MAX_TASKS {
        let message = format!("A job has at most {MAX_TASKS} tasks.");
        report("tasks", &message);
    }
    if !request.repeatable && request.valid_until_unix_ms.is_none() {
        let message = "It is required when `repeatable` is false.";
        report("valid_until_unix_ms", message);
    }
    findings
}

fn is_request_id(id: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    (1..=MAX_REQUEST_ID_CHARS).contains(&id.len()) && id.chars().all(allowed)
}

/// Finds every problem of a body that does not decode.
fn diagnose(body: &[u8]) -> Findings {
    let mut findings = Findings::new();
    if body.len() <= MAX_DIAGNOSED_BYTES
        && let Ok(Value::Object(fields)) = serde_json::from_slice(body)
    {
        findings = diagnose_fields(&fields);
        findings.truncate(MAX_FINDINGS);
    }
    if !findings.is_empty() {
        return findings;
    }
    let rejection = hornbeam_http::parse_json::<SubmitRequest>(body).err();
    rejection
        .map(|rejection| rejection.findings)
        .unwrap_or_default()
}

fn diagnose_fields(fields: &Map<String, Value>) -> Findings {
    let mut findings = Findings::new();
    for name in fields
        .keys()
        .filter(|name| !FIELDS.contains(&name.as_str()))
    {
        let message = format!("Unknown field; allowed are {}.", FIELDS.join(", "));
        findings.push(Finding::new(Place::body(name), message));
    }
    for name in ["request_id", "institution", "team", "service"] {
        check_field::<String>(&mut findings, name, fields.get(name));
    }
    check_field::<bool>(&mut findings, "repeatable", fields.get("repeatable"));
    check_field::<u64>(&mut findings, "timeout_ms", fields.get("timeout_ms"));
    if let Some(valid_until) = fields.get("valid_until_unix_ms") {
        check_field::<Option<u64>>(&mut findings, "valid_until_unix_ms", Some(valid_until));
    }
    match fields.get("tasks") {
        Some(Value::Array(tasks)) => {
            for (index, task) in tasks.iter().enumerate().take(MAX_TASKS) {
                check_field::<TaskSpec>(&mut findings, &format!("tasks[{index}]"), Some(task));
            }
        }
        tasks => check_field::<Vec<TaskSpec>>(&mut findings, "tasks", tasks),
    }
    findings
}

/// Reports a field that is missing or does not decode as `T`.
fn check_field<T: DeserializeOwned>(findings: &mut Findings, path: &str, value: Option<&Value>) {
    let message = match value {
        None => "The field is missing.".to_owned(),
        Some(value) => match T::deserialize(value) {
            Ok(_) => return,
            Err(cause) => cause.to_string(),
        },
    };
    findings.push(Finding::new(Place::body(path), message));
}
