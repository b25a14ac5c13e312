//! Checks that control hosts log their events.

mod harness;

use std::collections::BTreeSet;
use std::sync::{Mutex, OnceLock};

use harness::{System, TIMEOUT, wait_until};
use hornbeam_core::api::operator::ChangeOutcome;
use hornbeam_http::{ClientOptions, HttpClient};
use hornbeam_node::Host;
use log::{LevelFilter, Log, Metadata, Record};

/// `EventRecorder` records the names of the events that the process logs.
struct EventRecorder(Mutex<BTreeSet<String>>);

impl Log for EventRecorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if let Some(event) = record.key_values().get(log::kv::Key::from("event")) {
            self.0.lock().unwrap().insert(event.to_string());
        }
    }

    fn flush(&self) {}
}

fn event_recorder() -> &'static EventRecorder {
    static EVENTS: OnceLock<EventRecorder> = OnceLock::new();
    EVENTS.get_or_init(|| EventRecorder(Mutex::default()))
}

/// Guards against decisions on changes, refused credentials and disk faults
/// that are not logged.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn decisions_of_a_control_host_are_logged() {
    log::set_logger(event_recorder()).unwrap();
    log::set_max_level(LevelFilter::Trace);
    let mut system = System::start(1, 0).await;
    let accepted = system.decide("second", 1, "").await;
    assert!(matches!(accepted, ChangeOutcome::Accepted { .. }));
    let conflict = system.change("late", 1, "").await;
    assert!(
        matches!(conflict, ChangeOutcome::Conflict { .. }),
        "{conflict:?}"
    );
    let unauthorized = HttpClient::new(ClientOptions::default()).unwrap();
    let address = system.controls[0].http_address();
    let refused = unauthorized.get_text(address, "/v1/config", TIMEOUT).await;
    assert_eq!(refused.unwrap().status, 401);
    system.append_torn_record(0).await;
    system.decide("third", 2, "").await;
    system.folders.clear();
    let mut version = 3;
    // The folder is deleted, so the next snapshot cannot be written.
    wait_until("a failed disk", async || {
        let outcome = system
            .change(&format!("change-{version}"), version, "")
            .await;
        if let ChangeOutcome::Accepted { version: next } = outcome {
            version = next;
        }
        system.controls[0].has_failed()
    })
    .await;
    system.stop().await;
    let logged = event_recorder().0.lock().unwrap();
    for event in [
        "ChangeAccepted",
        "ChangeConflict",
        "CredentialRefused",
        "LogTailCut",
        "DiskFailed",
        "DrainStarted",
    ] {
        assert!(logged.contains(event), "{event} is missing: {logged:?}");
    }
}
