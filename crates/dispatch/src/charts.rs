//! State charts of jobs, tasks and backend servers, loaded from `charts/*.toml`.

use hornbeam_chart::{ChartDomain, StateMachine};
use hornbeam_core::Result;

/// Defines the states and events of one chart and binds them to its names.
macro_rules! domain {
    ($domain:ident, $state:ident { $($s:ident = $s_name:literal,)+ },
     $event:ident { $($e:ident = $e_name:literal,)+ }) => {
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum $state { $($s,)+ }

        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub(crate) enum $event { $($e,)+ }

        #[derive(Clone, Debug)]
        pub(crate) struct $domain;

        impl ChartDomain for $domain {
            type State = $state;
            type Event = $event;
            const STATES: &'static [(&'static str, $state)] = &[$(($s_name, $state::$s),)+];
            const EVENTS: &'static [(&'static str, $event)] = &[$(($e_name, $event::$e),)+];
        }
    };
}

domain!(
    JobDomain,
    JobState {
        Admitted = "admitted",
        Claiming = "claiming",
        Queued = "queued",
        Running = "running",
        Complete = "complete",
        Failed = "failed",
        Refused = "refused",
    },
    JobEvent {
        Claim = "claim",
        Enqueue = "enqueue",
        Send = "send",
        Unsend = "unsend",
        Complete = "complete",
        Fail = "fail",
        Refuse = "refuse",
    }
);

domain!(
    TaskDomain,
    TaskState {
        Queued = "queued",
        Sent = "sent",
        Asking = "asking",
        Forwarded = "forwarded",
        Finished = "finished",
        Lost = "lost",
    },
    TaskEvent {
        Send = "send",
        Forward = "forward",
        Ask = "ask",
        Return = "return",
        Finish = "finish",
        Lose = "lose",
    }
);

domain!(
    ServerDomain,
    ServerState {
        Serving = "serving",
        Leaving = "leaving",
        Ejected = "ejected",
        Trial = "trial",
        Expired = "expired",
    },
    ServerEvent {
        Renew = "renew",
        Withdraw = "withdraw",
        Expire = "expire",
        Eject = "eject",
        Try = "try",
        Restore = "restore",
    }
);

/// `Charts` holds the state machines of jobs, tasks and servers.
#[derive(Clone, Debug)]
pub(crate) struct Charts {
    pub(crate) job: StateMachine<JobDomain>,
    pub(crate) task: StateMachine<TaskDomain>,
    pub(crate) server: StateMachine<ServerDomain>,
}

impl Charts {
    /// Parses the embedded charts.
    pub(crate) fn parse() -> Result<Self> {
        Ok(Self {
            job: StateMachine::parse("job.toml", include_str!("../charts/job.toml"))?,
            task: StateMachine::parse("task.toml", include_str!("../charts/task.toml"))?,
            server: StateMachine::parse("server.toml", include_str!("../charts/server.toml"))?,
        })
    }
}
