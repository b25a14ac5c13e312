//! Requests between processes of two versions, as during an upgrade.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use hornbeam_core::Error;
use hornbeam_fleet::{LossEvidence, LossReport, RunId, RunLoss};
use hornbeam_node::{Request, RequestAnswer};
use hornbeam_transport::{Link, LinkOptions, ServerOptions, Service, serve};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const TIMEOUT: Duration = Duration::from_secs(5);

/// `FormerRequest` is the start of [`Request`], as a former version knew it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum FormerRequest {
    Ping,
}

/// `FormerHost` answers what a former version knows.
struct FormerHost;

impl Service for FormerHost {
    type Request = FormerRequest;
    type Answer = RequestAnswer;

    async fn handle(&self, request: FormerRequest) -> hornbeam_core::Result<RequestAnswer> {
        match request {
            FormerRequest::Ping => Ok(RequestAnswer::Done),
        }
    }
}

/// Guards against a report of losses that breaks the link to a host of a former
/// version, over which batches go as well.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn former_hosts_refuse_reports_of_losses_and_keep_the_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async move {
        // Ends when the sender is dropped, too.
        let _ = stopped.await;
    };
    let options = ServerOptions::default();
    let server = tokio::spawn(serve(listener, Arc::new(FormerHost), options, stopped));
    let link = Link::new(address, LinkOptions::default());
    let run = RunId {
        job: 7,
        task: 0,
        attempt: 1,
    };
    let loss = RunLoss {
        run,
        worker_id: "w1".into(),
        born_unix_ms: 5,
        evidence: LossEvidence::Silent,
        has_started: true,
    };
    let report = Request::Losses(Box::new(LossReport {
        losses: vec![loss],
        origin: None,
    }));
    let refused = link.call::<_, RequestAnswer>(&report, TIMEOUT).await;
    expect_true!(matches!(refused, Err(Error::Refused(_))), "{refused:?}");
    let answer = link.call::<_, RequestAnswer>(&Request::Ping, TIMEOUT).await;
    expect_true!(matches!(answer, Ok(RequestAnswer::Done)), "{answer:?}");
    drop(link);
    drop(stop);
    server.await.unwrap().unwrap();
}
