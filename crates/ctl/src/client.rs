//! HTTP client for the operator and job interfaces of several hosts.

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

/// `ApiClient` sends requests to the hosts of a list.
#[derive(Clone, Debug)]
pub(crate) struct ApiClient {
    client: HttpClient,
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl ApiClient {
    /// Creates a client of hosts with a timeout per request.
    pub(crate) fn new(client: HttpClient, addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            client,
            addresses,
            timeout,
        }
    }

    /// Gets the addresses of the hosts.
    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends `GET path` to the hosts in turn and returns the first answer with
    /// status 200; if there is none, returns the error of the last host.
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

    /// Sends `GET path` to one host.
    ///
    /// # Errors
    /// As [`ApiClient::get`].
    pub(crate) async fn get_from<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<A> {
        // The client returns the raw body, since error answers may be plain text.
        let reply = self.client.get_text(address, path, self.timeout).await;
        // A read has no effect, so a missing answer is no unknown outcome.
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

    /// Posts a body to one host and decodes an answer of any status whose body
    /// has the expected type.
    ///
    /// # Errors
    /// `NotSent`, `OutcomeUnknown`, and `Refused` if the host refused the request
    /// with another body.
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
        // The client returns the raw body, since error answers may be plain text.
        let sent = self.client.post_text(address, path, body, self.timeout);
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

    /// Posts a body to the first reachable host. Only a request that was not
    /// sent is tried at the next host.
    ///
    /// # Errors
    /// As [`ApiClient::post_to`].
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

impl ChangeSender for ApiClient {
    async fn send(&self, attempt: usize, change: &ChangeRequest) -> Result<ChangeOutcome> {
        let Some(address) = self.addresses.get(attempt % self.addresses.len().max(1)) else {
            return Err(Error::not_sent("no address is given"));
        };
        let reply = self.post_to(*address, "/v1/config/changes", change).await?;
        Ok(reply.body)
    }
}

/// Whether a status means that the credential is missing or wrong.
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
