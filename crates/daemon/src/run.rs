//! The run of one host from start to the end of its drain.

use std::net::SocketAddr;

use eyre::{Result, WrapErr, bail};
use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use hornbeam_node::{ControlHost, ControlOptions, EntryHost, EntryOptions};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::settings::RoleSettings;

/// Runs a host until it is drained.
///
/// # Errors
/// If the host cannot start or stops because of an error.
pub(crate) async fn run(role: RoleSettings) -> Result<()> {
    let stop_signals = StopSignals::new()?;
    match role {
        RoleSettings::Entry(options) => run_entry(*options, stop_signals).await,
        RoleSettings::Control(options) => run_control(*options, stop_signals).await,
    }
}

async fn run_entry(options: EntryOptions, mut stop_signals: StopSignals) -> Result<()> {
    let host_id = options.dispatch.host_id.clone();
    log_event!(Event::ProcessStarting, host = host_id; "entry host starts");
    let host = EntryHost::start(options).await?;
    log_listening(&host_id, host.http_address(), host.link_address());
    tokio::select! {
        () = stop_signals.next() => host.start_drain(),
        () = host.drained() => {}
    }
    host.drained().await;
    let failed = host.has_failed();
    host.stop().await;
    if failed {
        bail!("the entry host stopped because of an error");
    }
    Ok(())
}

async fn run_control(options: ControlOptions, mut stop_signals: StopSignals) -> Result<()> {
    let host_id = options.host_id.clone();
    log_event!(Event::ProcessStarting, host = host_id; "control host starts");
    let host = ControlHost::start(options).await?;
    log_listening(&host_id, host.http_address(), host.link_address());
    tokio::select! {
        () = stop_signals.next() => host.start_drain(),
        () = host.stopped() => {}
    }
    host.stopped().await;
    let failed = host.has_failed();
    host.stop().await;
    if failed {
        bail!("the control host stopped because of an error");
    }
    Ok(())
}

fn log_listening(host_id: &str, http: SocketAddr, link: SocketAddr) {
    log_event!(
        Event::ProcessListening, host = host_id, http = http, link = link;
        "listening on {http} for HTTP and on {link} for links"
    );
}

/// `StopSignals` are the signals that start a drain.
#[derive(Debug)]
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self> {
        let terminate = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
        let interrupt = signal(SignalKind::interrupt()).wrap_err("cannot listen for SIGINT")?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
