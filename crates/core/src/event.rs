//! Numbered log events. Each has a fixed number, name and level, so that
//! operators can filter and alert on them; `docs/EVENTS.md` explains each one
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
    /// The process has read its settings and starts.
    ProcessStarting = 100, Info;
    /// The process listens on its addresses.
    ProcessListening = 101, Info;
    /// A drain began; new work is refused.
    DrainStarted = 102, Info;
    /// Nothing is in flight any more; the process ends.
    DrainFinished = 103, Info;
    /// The process ends because of an error.
    ProcessFailed = 104, Error;
    /// A backend server leased its slots to this host.
    ServerLeased = 200, Info;
    /// A backend server withdrew.
    ServerWithdrawn = 201, Info;
    /// A backend server's lease ended without renewal.
    ServerLeaseExpired = 202, Warn;
    /// A backend server was taken out because its tasks failed.
    ServerEjected = 203, Warn;
    /// A backend server that had been taken out serves again.
    ServerRestored = 204, Info;
    /// A job was refused; nothing ran.
    JobRefused = 300, Info;
    /// A job failed.
    JobFailed = 301, Warn;
    /// A job completed.
    JobCompleted = 302, Debug;
    /// An exchange with a backend server got no usable answer.
    ExchangeUnanswered = 303, Warn;
    /// A task was sent again after proof that it had not started.
    TaskRetried = 304, Info;
    /// An answer arrived that no job waits for.
    AnswerDropped = 305, Info;
    /// A peer entry host's status is overdue.
    PeerLost = 400, Warn;
    /// A peer entry host is heard from again.
    PeerFound = 401, Info;
    /// A newer configuration is in force on this host.
    ConfigInForce = 500, Info;
    /// A change of configuration was accepted.
    ChangeAccepted = 501, Info;
    /// A change of configuration lost against another.
    ChangeConflict = 502, Info;
    /// This control host became leader.
    LeaderElected = 510, Info;
    /// This control host stopped being leader.
    LeaderSteppedDown = 511, Warn;
    /// A record at the end of the log was incomplete and was cut.
    LogTailCut = 512, Warn;
    /// A disk operation failed; this control host stops.
    DiskFailed = 513, Error;
    /// A snapshot was written.
    SnapshotWritten = 514, Info;
    /// The group's members changed.
    MembersChanged = 515, Info;
    /// A connection was refused because of its credential.
    CredentialRefused = 600, Warn;
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
