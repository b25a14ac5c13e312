//! Requests to one of several hosts.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::api::operator::{ChangeOutcome, ChangeRequest};
use hornbeam_core::{Error, Result};
use hornbeam_http::{HttpClient, Reply};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::change::ChangeSender;

const OK: u16 = 200;
const UNAUTHORIZED: u16 = 401;
const FORBIDDEN: u16 = 403;
const SERVER_ERROR: u16 = 500;

/// `Api` sends requests to a list of hosts.
#[derive(Clone, Debug)]
pub(crate) struct Api {
    client: HttpClient,
    addresses: Vec<SocketAddr>,
    within: Duration,
}

impl Api {
    /// Creates an interface to hosts that answer within a time.
    pub(crate) fn new(client: HttpClient, addresses: Vec<SocketAddr>, within: Duration) -> Self {
        Self {
            client,
            addresses,
            within,
        }
    }

    /// Gets the hosts.
    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Gets `path` from the first host that answers with 200 and else the
    /// last host's error.
    ///
    /// # Errors
    /// `NotSent` or `Io` if no host answered, `Refused` for another status,
    /// `Codec` for an unexpected body.
    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A> {
        let mut failure = Error::not_sent("no address is given");
        for address in &self.addresses {
            match self.get_from(*address, path).await {
                Ok(answer) => return Ok(answer),
                Err(error) => failure = error,
            }
        }
        Err(failure)
    }

    /// Gets `path` from one host.
    ///
    /// # Errors
    /// As [`Api::get`].
    pub(crate) async fn get_from<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<A> {
        // Error answers are often plain text, so the body is decoded here.
        let reply = self.client.get_text(address, path, self.within).await;
        // A read without an answer has no effect that could be in doubt.
        let reply = reply.map_err(|error| match error {
            Error::OutcomeUnknown(cause) => Error::Io(format!("{address} did not answer: {cause}")),
            Error::NotSent(cause) => Error::NotSent(format!("{address}: {cause}")),
            other => other,
        })?;
        if reply.status == OK {
            serde_json::from_str(&reply.body).map_err(Error::codec)
        } else {
            Err(Error::refused(describe(address, reply.status, &reply.body)))
        }
    }

    /// Posts a body to one host and decodes the answer of any status whose
    /// body has the expected type.
    ///
    /// # Errors
    /// `NotSent`, `OutcomeUnknown`, and `Refused` if the host refused the request
    /// without the expected body.
    pub(crate) async fn post_to<Q, A>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
    ) -> Result<Reply<A>>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        // Error answers are often plain text, so the body is decoded here.
        let sent = self.client.post_text(address, path, body, self.within);
        let reply = sent.await.map_err(|error| match error {
            Error::Codec(cause) => {
                Error::outcome_unknown(format!("{address} gave no usable answer: {cause}"))
            }
            other => other,
        })?;
        let status = reply.status;
        match serde_json::from_str(&reply.body) {
            Ok(body) => Ok(Reply { status, body }),
            Err(_) if status < SERVER_ERROR && status != OK => {
                Err(Error::refused(describe(address, status, &reply.body)))
            }
            Err(_) => Err(Error::outcome_unknown(describe(
                address,
                status,
                &reply.body,
            ))),
        }
    }

    /// Posts a body to the first host that can be reached. Only a request
    /// that was never sent goes to the next host.
    ///
    /// # Errors
    /// As [`Api::post_to`].
    pub(crate) async fn post<Q, A>(&self, path: &str, body: &Q) -> Result<Reply<A>>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let mut failure = Error::not_sent("no address is given");
        for address in &self.addresses {
            match self.post_to(*address, path, body).await {
                Err(error @ Error::NotSent(_)) => failure = error,
                other => return other,
            }
        }
        Err(failure)
    }
}

impl ChangeSender for Api {
    async fn send(&self, attempt: usize, change: &ChangeRequest) -> Result<ChangeOutcome> {
        let Some(address) = self.addresses.get(attempt % self.addresses.len().max(1)) else {
            return Err(Error::not_sent("no address is given"));
        };
        let reply = self.post_to(*address, "/v1/config/changes", change).await?;
        Ok(reply.body)
    }
}

/// Whether a status says that the credential is missing or wrong.
fn is_credential_refused(status: u16) -> bool {
    matches!(status, UNAUTHORIZED | FORBIDDEN)
}

fn describe(address: SocketAddr, status: u16, body: &str) -> String {
    let hint = if is_credential_refused(status) {
        " (check --credential-file)"
    } else {
        ""
    };
    format!("{address} answered {status}: {}{hint}", body.trim_end())
}
