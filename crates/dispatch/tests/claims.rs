//! Tests of claims of requests that are not repeatable.

mod common;

use common::{EPOCH_UNIX_MS, Host, announcement, configuration, request};
use googletest::prelude::*;
use hornbeam_dispatch::{DispatchInput, DispatchOutput};

/// Guards against refusing a request because a caller of another institution
/// uses the same request id.
#[gtest]
fn institutions_do_not_share_request_ids() {
    let mut config = configuration();
    let terms = config.institutions["dala"].clone();
    config.institutions.insert("wickmaratne".to_owned(), terms);
    let mut host = Host::with_id("e1");
    host.step(DispatchInput::ConfigInForce(2, config.into()));
    host.announce(announcement("s1"));
    let mut claim_key = |job: &str, institution: &str| {
        let mut request = request("order-1", 1);
        request.institution = institution.into();
        request.repeatable = false;
        request.valid_until_unix_ms = Some(EPOCH_UNIX_MS + 60_000);
        let outputs = host.submit(job, request);
        outputs.into_iter().find_map(|output| match output {
            DispatchOutput::RecordClaim { claim_key, .. } => Some(claim_key),
            _ => None,
        })
    };
    expect_that!(claim_key("j1", "dala"), some(eq("dala/order-1")));
    expect_that!(
        claim_key("j2", "wickmaratne"),
        some(eq("wickmaratne/order-1"))
    );
}
