//! `hornbeam evacuate`: evacuates a failure domain or returns it to service.

use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use eyre::Result;
use hornbeam_core::Error;
use hornbeam_core::api::operator::{EvacuationOutcome, EvacuationRequest};
use serde::Serialize;

use crate::client::ApiClient;
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::output;

/// Timeout of one attempt, above the time after which a control host gives up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time within which the order is sent again until it is acknowledged.
const RETRY_TIME: Duration = Duration::from_secs(5);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// `Evacuate` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Evacuate {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    failure_domain: String,
    finish: bool,
}

/// `OrderLine` is the printed outcome.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct OrderLine {
    failure_domain: String,
    is_evacuated: bool,
    #[serde(flatten)]
    outcome: EvacuationOutcome,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Evacuate> {
    let globals = globals();
    let failure_domain = long("failure-domain")
        .help("Failure domain of the workers")
        .argument::<String>("NAME");
    let finish = long("finish")
        .help("Return the failure domain to service")
        .switch();
    construct!(Evacuate {
        globals,
        failure_domain,
        finish
    })
    .to_options()
    .descr("Stops new tasks on the guarded workers of a failure domain, or allows them again")
    .footer(
        "Running tasks finish. The order is sent to the control hosts in turn for up to 5 s; \
         after exit code 5 or 6 the command can be repeated.\n\n\
         Example:\n\n      hornbeam evacuate --control 10.0.0.1:7100 \
         --credential-file operator.key --failure-domain almaty-a\n      \
         hornbeam evacuate --control 10.0.0.1:7100 --credential-file operator.key \
         --failure-domain almaty-a --finish",
    )
    .command("evacuate")
    .help("Evacuate a failure domain or return it to service")
}

impl Evacuate {
    /// Sends the order and prints its outcome.
    ///
    /// # Errors
    /// If no control host is given or the last one gave no usable answer.
    pub(crate) async fn run(self) -> Result<Exit> {
        let api = self.globals.control_api(ATTEMPT_TIMEOUT)?;
        let request = EvacuationRequest {
            failure_domain: self.failure_domain,
            is_evacuated: !self.finish,
        };
        let outcome = send(&api, &request).await?;
        let line = OrderLine {
            failure_domain: request.failure_domain,
            is_evacuated: request.is_evacuated,
            outcome,
        };
        output::print_result(self.globals.output, &line, text)?;
        Ok(exit(&line.outcome))
    }
}

/// Sends an order to the control hosts in turn until one acknowledges it. An
/// order that may be recorded stays unknown until then.
async fn send(api: &ApiClient, request: &EvacuationRequest) -> Result<EvacuationOutcome> {
    let deadline = Instant::now() + RETRY_TIME;
    let mut unknown_outcome = None;
    let mut addresses = api.addresses().iter().cycle();
    loop {
        let Some(&address) = addresses.next() else {
            return Err(Error::not_sent("no address is given").into());
        };
        let sent = api.post_to(address, "/v1/evacuations", request).await;
        let outcome = match sent.map(|reply| reply.body) {
            Ok(
                decided @ (EvacuationOutcome::Acknowledged { .. }
                | EvacuationOutcome::Invalid { .. }),
            ) => return Ok(decided),
            Ok(unknown @ EvacuationOutcome::Unknown { .. }) => {
                unknown_outcome = Some(unknown.clone());
                Ok(unknown)
            }
            Ok(unavailable) => Ok(unavailable),
            Err(Error::OutcomeUnknown(message)) => {
                let unknown = EvacuationOutcome::Unknown { message };
                unknown_outcome = Some(unknown.clone());
                Ok(unknown)
            }
            Err(error) => Err(error),
        };
        if Instant::now() + RETRY_DELAY >= deadline {
            return match unknown_outcome {
                Some(unknown) => Ok(unknown),
                None => Ok(outcome?),
            };
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn exit(outcome: &EvacuationOutcome) -> Exit {
    match outcome {
        EvacuationOutcome::Acknowledged { .. } => Exit::Ok,
        EvacuationOutcome::Invalid { .. } => Exit::Findings,
        EvacuationOutcome::Unavailable { .. } => Exit::Refused,
        EvacuationOutcome::Unknown { .. } => Exit::Unknown,
    }
}

fn text(line: &OrderLine) -> String {
    let name = &line.failure_domain;
    match &line.outcome {
        EvacuationOutcome::Acknowledged { revision } => {
            let state = if line.is_evacuated {
                "evacuated"
            } else {
                "in service"
            };
            format!("Failure domain {name} is {state} (revision {revision}).")
        }
        EvacuationOutcome::Invalid { findings } => {
            let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            format!("Nothing was changed:\n{}", lines.join("\n"))
        }
        EvacuationOutcome::Unavailable { message } => format!("Nothing was changed: {message}"),
        EvacuationOutcome::Unknown { message } => {
            format!("The order may or may not be recorded: {message}")
        }
    }
}
