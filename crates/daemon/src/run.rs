//! The run of one host from start to the end of its drain.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use hornbeam_node::{ControlHost, EntryHost, FleetEntryHost, Host};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::host_file::HostFile;
use crate::settings::RoleSettings;

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
            let mut settings = SettingsWatch::new(path)?;
            let host_id = options.fleet.host_id.clone();
            let starting = FleetEntryHost::start(*options);
            let kind = "entry host of guarded workers";
            run_host(&host_id, kind, starting, async |host| {
                loop {
                    take_over(host, settings.changed().await);
                }
            })
            .await
        }
        RoleSettings::FleetControl(options, path) => {
            let settings = SettingsWatch::new(path)?;
            let host_id = options.host_id.clone();
            let starting = ControlHost::start(*options);
            let kind = "control host of guarded workers";
            run_host(&host_id, kind, starting, async |_| {
                note_changes(settings).await
            })
            .await
        }
    }
}

/// Runs a host until it is drained; `watch` runs beside it until then.
async fn run_host<H: Host>(
    host_id: &str,
    kind: &str,
    starting: impl Future<Output = Result<H>>,
    watch: impl AsyncFnOnce(&H),
) -> Result<()> {
    let mut stop_signals = StopSignals::new()?;
    log_event!(Event::ProcessStarting, host = host_id; "{kind} starts");
    let host = starting.await?;
    log_listening(host_id, host.http_address(), host.link_address());
    tokio::select! {
        () = stop_signals.next() => host.start_drain(),
        () = host.stopped() => {}
        () = watch(&host) => {}
    }
    host.stopped().await;
    let failed = host.has_failed();
    host.stop().await;
    if failed {
        bail!("the {kind} stopped because of an error");
    }
    Ok(())
}

/// Checks and logs changes of a control host's settings file. Control hosts
/// learn of each other by the replicated log, so the listed ones matter at the
/// next start only.
async fn note_changes(mut settings: SettingsWatch) {
    loop {
        match settings.changed().await.control() {
            Ok(_) => log_event!(Event::SettingsReloaded; "the changed settings are valid"),
            Err(findings) => {
                log_event!(Event::SettingsReloaded; "the changed settings are invalid: {findings:?}");
            }
        }
    }
}

/// Time between two looks at the settings file, which may change without a
/// signal.
const FILE_PERIOD: Duration = Duration::from_millis(1000);

/// `SettingsWatch` notices changes of a settings file.
#[derive(Debug)]
struct SettingsWatch {
    path: String,
    text: String,
    hangups: Signal,
}

impl SettingsWatch {
    fn new(path: String) -> Result<Self> {
        let hangups = signal(SignalKind::hangup()).wrap_err("cannot listen for SIGHUP")?;
        let text = std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
        Ok(Self {
            path,
            text,
            hangups,
        })
    }

    /// Waits for a change and gets the new file.
    async fn changed(&mut self) -> HostFile {
        loop {
            let by_signal = tokio::select! {
                _ = self.hangups.recv() => true,
                () = tokio::time::sleep(FILE_PERIOD) => false,
            };
            if let Some(file) = self.look(by_signal) {
                return file;
            }
        }
    }

    fn look(&mut self, by_signal: bool) -> Option<HostFile> {
        let path = &self.path;
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(cause) => {
                log_event!(Event::SettingsReloaded; "{path} cannot be read: {cause}");
                return None;
            }
        };
        if text == self.text {
            if by_signal {
                log_event!(Event::SettingsReloaded; "{path} is unchanged");
            }
            return None;
        }
        self.text = text;
        match HostFile::open(path) {
            Ok(file) => Some(file),
            Err(findings) => {
                log_event!(Event::SettingsReloaded; "{path} stays as it was read before: {findings:?}");
                None
            }
        }
    }
}

/// Takes over the control hosts of a settings file that changed. Addresses
/// and terms cannot change while a process runs.
fn take_over(host: &FleetEntryHost, file: HostFile) {
    match file.entry() {
        Ok(options) => {
            log_event!(
                Event::SettingsReloaded;
                "control hosts are now {:?}", options.control_hosts
            );
            host.set_control_hosts(options.control_hosts);
        }
        Err(findings) => {
            log_event!(Event::SettingsReloaded; "the former settings stay in force: {findings:?}");
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
