//! Sends a configuration change and retries it until its outcome is known.

use std::future::Future;
use std::time::Duration;

use hornbeam_core::api::operator::{ChangeOutcome, ChangeRequest};
use hornbeam_core::{Error, Result};

/// `ChangeSender` makes single attempts to send a change.
pub trait ChangeSender: Sync {
    /// Sends the change; successive attempts may go to different hosts.
    ///
    /// # Errors
    /// `NotSent` and `Refused` guarantee that this attempt changed nothing;
    /// `OutcomeUnknown` does not.
    fn send(
        &self,
        attempt: usize,
        change: &ChangeRequest,
    ) -> impl Future<Output = Result<ChangeOutcome>> + Send;
}

/// `RetryLimits` bound the attempts to send a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryLimits {
    /// Total number of attempts; default 12, enough to outlast a leader election.
    pub attempts: usize,
    /// Delay between two attempts; default 500 ms.
    pub delay: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            attempts: 12,
            delay: Duration::from_millis(500),
        }
    }
}

/// Sends a change with the same change id until its outcome is known.
///
/// After an attempt with an unknown outcome, a later attempt that changed
/// nothing does not resolve it, since the first may still be recorded. Only a
/// decision of the control group or a validation finding resolves it.
///
/// # Errors
/// `Refused` if a host refused the change and no earlier attempt has an unknown
/// outcome.
pub async fn send_until_known<S: ChangeSender>(
    sender: &S,
    change: &ChangeRequest,
    limits: RetryLimits,
) -> Result<ChangeOutcome> {
    let mut unknown_outcome = None;
    let mut refusal = String::from("no attempt was made");
    for attempt in 0..limits.attempts {
        if attempt > 0 {
            tokio::time::sleep(limits.delay).await;
        }
        match sender.send(attempt, change).await {
            Ok(ChangeOutcome::Unknown { message }) | Err(Error::OutcomeUnknown(message)) => {
                unknown_outcome = Some(message);
            }
            Ok(ChangeOutcome::Unavailable { message }) | Err(Error::NotSent(message)) => {
                refusal = message;
            }
            Ok(decided) => return Ok(decided),
            Err(error) if unknown_outcome.is_none() => return Err(error),
            Err(error) => refusal = error.to_string(),
        }
    }
    Ok(match unknown_outcome {
        Some(message) => ChangeOutcome::Unknown { message },
        None => ChangeOutcome::Unavailable { message: refusal },
    })
}
