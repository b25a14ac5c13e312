//! Running one host from its start to the end of its drain.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use hornbeam_node::{ControlHost, EntryHost, FleetEntryHost, Host};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::settings::RoleSettings;
use crate::settings_file::SettingsFile;

/// Runs the host of a role until it is drained.
///
/// # Errors
/// If the host cannot start or stops because of an error.
pub(crate) async fn run(role: RoleSettings) -> Result<()> {
    match role {
        RoleSettings::Entry(options) => {
            let host_id = options.dispatch.host_id.clone();
            let starting = EntryHost::start(*options);
            run_host(&host_id, "entry host", starting, async |_| pending().await).await
        }
        RoleSettings::Control(options) => {
            let host_id = options.host_id.clone();
            let starting = ControlHost::start(*options);
            run_host(&host_id, "control host", starting, async |_| {
                pending().await
            })
            .await
        }
        RoleSettings::FleetEntry(options, path) => {
            let mut watcher = SettingsWatcher::new(path)?;
            let host_id = options.fleet.host_id.clone();
            let starting = FleetEntryHost::start(*options);
            let kind = "entry host of guarded workers";
            run_host(&host_id, kind, starting, async |host| {
                loop {
                    apply_settings_change(host, watcher.next_change().await);
                }
            })
            .await
        }
        RoleSettings::FleetControl(options, path) => {
            let watcher = SettingsWatcher::new(path)?;
            let host_id = options.host_id.clone();
            let starting = ControlHost::start(*options);
            let kind = "control host of guarded workers";
            run_host(&host_id, kind, starting, async |_| {
                log_settings_changes(watcher).await
            })
            .await
        }
    }
}

/// Runs a host until it is drained; `background` runs concurrently until the
/// drain starts.
async fn run_host<H: Host>(
    host_id: &str,
    kind: &str,
    starting: impl Future<Output = Result<H>>,
    background: impl AsyncFnOnce(&H),
) -> Result<()> {
    let mut stop_signals = StopSignals::new()?;
    log_event!(Event::ProcessStarting, host = host_id; "starting the {kind}");
    let host = starting.await?;
    log_listening(host_id, host.http_address(), host.link_address());
    tokio::select! {
        () = stop_signals.next() => host.start_drain(),
        () = host.stopped() => {}
        () = background(&host) => {}
    }
    host.stopped().await;
    let failed = host.has_failed();
    host.stop().await;
    if failed {
        bail!("the {kind} stopped because of an error");
    }
    Ok(())
}

/// Validates and logs changes of a control host's settings file. They take
/// effect at the next start: running control hosts find each other through the
/// replicated log.
async fn log_settings_changes(mut watcher: SettingsWatcher) {
    loop {
        match watcher.next_change().await.control() {
            Ok(_) => log_event!(Event::SettingsReloaded; "the changed settings file is valid"),
            Err(findings) => {
                log_event!(Event::SettingsReloaded; "the changed settings file is invalid: {findings:?}");
            }
        }
    }
}

/// Interval at which the settings file is read again, because it may change
/// without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// `SettingsWatcher` detects changes of a settings file.
#[derive(Debug)]
struct SettingsWatcher {
    path: String,
    text: String,
    reload_signals: Signal,
}

impl SettingsWatcher {
    fn new(path: String) -> Result<Self> {
        let reload_signals = signal(SignalKind::hangup()).wrap_err("cannot listen for SIGHUP")?;
        let text = std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
        Ok(Self {
            path,
            text,
            reload_signals,
        })
    }

    /// Waits until the file changes and returns its new content.
    async fn next_change(&mut self) -> SettingsFile {
        loop {
            let by_signal = tokio::select! {
                _ = self.reload_signals.recv() => true,
                () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
            };
            if let Some(file) = self.read_if_changed(by_signal) {
                return file;
            }
        }
    }

    fn read_if_changed(&mut self, by_signal: bool) -> Option<SettingsFile> {
        let path = &self.path;
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(cause) => {
                log_event!(Event::SettingsReloaded; "cannot read the settings file {path}: {cause}");
                return None;
            }
        };
        if text == self.text {
            if by_signal {
                log_event!(Event::SettingsReloaded; "settings file {path} is unchanged");
            }
            return None;
        }
        self.text = text;
        match SettingsFile::open(path) {
            Ok(file) => Some(file),
            Err(findings) => {
                log_event!(
                    Event::SettingsReloaded;
                    "cannot load the settings file {path}; \
                     the previous settings stay in force: {findings:?}"
                );
                None
            }
        }
    }
}

/// Applies the control hosts of a changed settings file. Addresses and terms
/// cannot change while a process runs.
fn apply_settings_change(host: &FleetEntryHost, file: SettingsFile) {
    match file.entry() {
        Ok(options) => {
            log_event!(
                Event::SettingsReloaded;
                "loaded the changed settings file; the control hosts are {:?}",
                options.control_hosts
            );
            host.set_control_hosts(options.control_hosts);
        }
        Err(findings) => {
            log_event!(
                Event::SettingsReloaded;
                "the changed settings are invalid; \
                 the previous settings stay in force: {findings:?}"
            );
        }
    }
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
