//! Numbered log events. Each has a fixed number, name and level, so that
//! operators can filter and alert on them. `docs/EVENTS.md` explains each one,
//! and a test compares that page with this list.

use log::Level;

/// Defines the [`Event`] enum and its lookup tables from one list.
macro_rules! events {
    ($($(#[doc = $doc:expr])+ $name:ident = $number:literal, $level:ident;)+) => {
        /// `Event` is a kind of log record with a stable number.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Event { $($(#[doc = $doc])+ $name,)+ }

        impl Event {
            /// All events in order of their number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Gets the stable number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Gets the name as logged.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// Gets the level at which the event is logged.
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)+ }
            }
        }
    };
}

events! {
    /// The process has read its settings and is starting.
    ProcessStarting = 100, Info;
    /// The process is listening on its addresses.
    ProcessListening = 101, Info;
    /// A drain started; new work is refused.
    DrainStarted = 102, Info;
    /// Nothing is in flight any more, or the drain deadline of a fleet entry host
    /// has passed; the process exits.
    DrainFinished = 103, Info;
    /// The process exits because of an error.
    ProcessFailed = 104, Error;
    /// The settings file changed and was reloaded.
    SettingsReloaded = 105, Info;
    /// Log lines were dropped because there were too many or their reader was too
    /// slow.
    LinesLeftOut = 106, Warn;
    /// Connections did not close in time after a drain, and the process exits
    /// without waiting for them.
    ConnectionsAborted = 107, Warn;
    /// The process stood still; what arrived meanwhile is handled before tasks start.
    ProcessPaused = 108, Info;
    /// A backend server leased its slots to this host.
    ServerLeased = 200, Info;
    /// A backend server withdrew.
    ServerWithdrawn = 201, Info;
    /// The lease of a backend server expired without renewal.
    ServerLeaseExpired = 202, Warn;
    /// A backend server was ejected because its tasks failed.
    ServerEjected = 203, Warn;
    /// An ejected backend server was restored to service.
    ServerRestored = 204, Info;
    /// A job was refused; no task ran.
    JobRefused = 300, Info;
    /// A job failed.
    JobFailed = 301, Warn;
    /// A job completed.
    JobCompleted = 302, Debug;
    /// An exchange with a backend server got no usable answer.
    ExchangeUnanswered = 303, Warn;
    /// A task was sent again after proof that it had not started.
    TaskRetried = 304, Info;
    /// An answer was dropped because no job waits for it.
    AnswerDropped = 305, Info;
    /// The status of a peer entry host is overdue.
    PeerLost = 400, Warn;
    /// A peer entry host is heard from again.
    PeerFound = 401, Info;
    /// An entry of a peer's batch extension was ignored: this build does not know
    /// its tag, or its value could not be decoded.
    ExtensionIgnored = 402, Info;
    /// A newer configuration is in force on this host.
    ConfigInForce = 500, Info;
    /// A configuration change was accepted.
    ChangeAccepted = 501, Info;
    /// A configuration change was rejected because another was accepted first.
    ChangeConflict = 502, Info;
    /// This control host became leader.
    LeaderElected = 510, Info;
    /// This control host is no longer leader.
    LeaderSteppedDown = 511, Warn;
    /// An incomplete record at the end of the log was truncated.
    LogTailCut = 512, Warn;
    /// A disk operation failed; this control host stops.
    DiskFailed = 513, Error;
    /// A snapshot was written.
    SnapshotWritten = 514, Info;
    /// The members of the control group changed.
    MembersChanged = 515, Info;
    /// A connection was refused because of its credential.
    CredentialRefused = 600, Warn;
    /// A job on guarded workers was refused; no task ran.
    FleetJobRefused = 700, Info;
    /// A job on guarded workers failed, timed out or was abandoned by its caller.
    FleetJobFailed = 701, Warn;
    /// A job on guarded workers completed.
    FleetJobCompleted = 702, Info;
    /// A run certainly did not start: its worker refused it, or the start request
    /// was not sent.
    RunNotStarted = 710, Info;
    /// A run failed or was lost; its task is retried.
    RunRetried = 711, Info;
    /// A run disappeared from its worker, or the host that forwarded it restarted.
    RunLost = 712, Warn;
    /// This host took ownership of a guarded worker.
    WorkerOwned = 720, Info;
    /// This host no longer owns a guarded worker.
    WorkerForgotten = 721, Info;
    /// A guarded worker is draining.
    WorkerDraining = 722, Info;
    /// A guarded worker did not answer polls or start requests.
    WorkerUnanswered = 723, Warn;
    /// The lease of a guarded worker expired while runs were on it.
    LeaseEnded = 724, Warn;
    /// A guarded worker was ejected because its runs failed or were slow.
    WorkerEjected = 725, Warn;
    /// An ejected guarded worker was restored to service, or a silent one answers
    /// again.
    WorkerRestored = 726, Info;
    /// A guarded worker crashed with runs on it, or turned out not to have crashed.
    WorkerCrashed = 727, Warn;
    /// A task was given up because the workers that started it crashed.
    TaskGivenUp = 728, Warn;
    /// Another entry host did not accept a report of runs lost with their workers.
    LossesNotReported = 729, Warn;
    /// A message from a worker, caller or operator could not be decoded.
    MessageRejected = 730, Warn;
    /// A guarded worker reported another capacity.
    WorkerResized = 731, Info;
    /// A delayed or implausible message about a guarded worker or a run was ignored.
    StaleMessage = 732, Info;
    /// A newer list of evacuated failure domains is in force on this host.
    EvacuationsApplied = 733, Info;
    /// A guarded worker restarted while start requests to it were without an
    /// answer; their tasks wait until it is certain that none takes effect.
    RunsUnsettled = 734, Info;
    /// A published configuration was accepted.
    PublishAccepted = 740, Info;
    /// A published configuration was rejected as invalid.
    PublishRejected = 741, Warn;
    /// No entry host accepted the report or the deregistration of a worker.
    ReportDeclined = 742, Warn;
    /// A control or entry host became unreachable or reachable again.
    HostReachability = 743, Info;
    /// The leader changes the voting members to repair the control group.
    GroupRepair = 744, Info;
    /// An operator ordered the evacuation of a failure domain or its return to
    /// service.
    EvacuationOrdered = 745, Info;
    /// An evacuation order was not acknowledged.
    EvacuationNotAcknowledged = 746, Warn;
    /// A newer list of evacuated failure domains is in force on this host.
    EvacuationsInForce = 747, Info;
    /// An entry host begins or ceases to keep the tasks of two queues apart.
    InterferenceChanged = 750, Info;
}

/// Logs an [`Event`] with a message and key-value fields.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($key:ident = $value:expr),* ; $($message:tt)+) => {{
        let event: $crate::event::Event = $event;
        $crate::event::log::log!(
            event.level(),
            number = event.number(), event = event.name() $(, $key:% = $value)*;
            $($message)+
        )
    }};
    ($event:expr; $($message:tt)+) => {{
        let event: $crate::event::Event = $event;
        $crate::event::log::log!(
            event.level(),
            number = event.number(), event = event.name();
            $($message)+
        )
    }};
}

#[doc(hidden)]
pub use log;
