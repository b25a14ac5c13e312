//! Sending of a change until its outcome is known.

use std::future::Future;
use std::time::Duration;

use hornbeam_core::api::operator::{ChangeOutcome, ChangeRequest};
use hornbeam_core::{Error, Result};

/// `ChangeSender` sends a change once.
pub trait ChangeSender: Sync {
    /// Sends the change; successive attempts may go to different hosts.
    ///
    /// # Errors
    /// `NotSent` and `Refused` prove that this attempt changed nothing;
    /// `Unknown` does not.
    fn send(
        &self,
        attempt: usize,
        change: &ChangeRequest,
    ) -> impl Future<Output = Result<ChangeOutcome>> + Send;
}

/// `RetryLimits` bound how often a change is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryLimits {
    /// Attempts in all; default 12, which outlasts an election.
    pub attempts: usize,
    /// Pause between two attempts; default 500 ms.
    pub pause: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            attempts: 12,
            pause: Duration::from_millis(500),
        }
    }
}

/// Sends a change with the same change id until its outcome is known.
///
/// Once an attempt is in doubt, a later attempt that changed nothing does not
/// settle the outcome: the first may still be recorded. Only an answer that
/// the control group decided on, or a finding in the files, does.
///
/// # Errors
/// `Refused` if a host refused the change before any attempt was in doubt.
pub async fn send_until_known<S: ChangeSender>(
    sender: &S,
    change: &ChangeRequest,
    limits: RetryLimits,
) -> Result<ChangeOutcome> {
    let mut doubt = None;
    let mut refusal = String::from("no attempt was made");
    for attempt in 0..limits.attempts {
        if attempt > 0 {
            tokio::time::sleep(limits.pause).await;
        }
        match sender.send(attempt, change).await {
            Ok(ChangeOutcome::Unknown { message }) | Err(Error::OutcomeUnknown(message)) => {
                doubt = Some(message);
            }
            Ok(ChangeOutcome::Unavailable { message }) | Err(Error::NotSent(message)) => {
                refusal = message;
            }
            Ok(decided) => return Ok(decided),
            Err(error) if doubt.is_none() => return Err(error),
            Err(error) => refusal = error.to_string(),
        }
    }
    Ok(match doubt {
        Some(message) => ChangeOutcome::Unknown { message },
        None => ChangeOutcome::Unavailable { message: refusal },
    })
}
