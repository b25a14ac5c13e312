//! Flags for the announcements and the injected faults of stand-ins.

use bpaf::{Parser, construct, long};
use hornbeam_core::api::backend::Announcement;
use hornbeam_standin::FaultPlan;

use crate::input::{argument_with_default, id_argument, unix_ms};

/// Servers per rack, as in section 1 of docs/design.md.
const SERVERS_PER_RACK: u32 = 6;

/// `ServerSpec` holds the announced properties of each stand-in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ServerSpec {
    /// Prefix of the server ids.
    pub(crate) name: String,
    /// Service of the servers.
    pub(crate) service: String,
    /// Failure domain of the servers.
    pub(crate) failure_domain: String,
    /// Task slots per server.
    pub(crate) slots: u32,
    /// Maximum connections that a server accepts.
    pub(crate) max_connections: u32,
    /// Processor capacity in thousandths of a core.
    pub(crate) cpu_milli: u32,
    /// Memory in MiB.
    pub(crate) memory_mib: u32,
    /// Accelerators.
    pub(crate) accelerators: u32,
    /// Whether a server announces itself to all entry hosts at once.
    pub(crate) shared: bool,
}

impl ServerSpec {
    /// Builds the announcement of the server with this number.
    pub(crate) fn announcement(&self, number: u32) -> Announcement {
        let Self { name, .. } = self;
        Announcement {
            server_id: format!("{name}-{number}"),
            // The protocol requires a larger incarnation after each restart.
            incarnation: unix_ms(),
            grant: 1,
            address: String::new(),
            failure_domain: self.failure_domain.clone(),
            rack: format!("{name}-rack-{}", number / SERVERS_PER_RACK),
            worker_id: format!("{name}-worker-{number}"),
            service: self.service.clone(),
            slots: self.slots,
            max_connections: self.max_connections,
            cpu_milli: self.cpu_milli,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
            shared: self.shared,
        }
    }
}

/// Parses the announced properties of the stand-ins.
pub(super) fn server_spec() -> impl Parser<ServerSpec> {
    let name = long("name")
        .help("Prefix of the server ids; default standin")
        .argument::<String>("TEXT")
        .fallback("standin".into());
    let service = id_argument("service", "Service of the servers");
    let failure_domain = id_argument("failure-domain", "Failure domain of the servers");
    let slots = argument_with_default("slots", "Task slots per server; default 8", 8_u32);
    let max_connections = argument_with_default(
        "max-connections",
        "Maximum connections that a server accepts; default 64",
        64_u32,
    );
    let cpu_milli = argument_with_default(
        "cpu-milli",
        "Processor capacity in thousandths of a core; default 16000",
        16_000_u32,
    );
    let memory_mib =
        argument_with_default("memory-mib", "Memory in MiB; default 65536", 65_536_u32);
    let accelerators = argument_with_default("accelerators", "Accelerators; default 0", 0_u32);
    let shared = long("shared")
        .help("Announce to all entry hosts at once, for the baseline placement policies")
        .switch();
    construct!(ServerSpec {
        name,
        service,
        failure_domain,
        slots,
        max_connections,
        cpu_milli,
        memory_mib,
        accelerators,
        shared
    })
}

/// Parses the probabilities of injected faults.
pub(super) fn faults() -> impl Parser<FaultPlan> {
    let fail = share("fail", "Share of tasks that end with an error");
    let straggle = share("straggle", "Share of tasks that take ten times as long");
    let silent = share("silent", "Share of exchanges that get no answer");
    let close_before_start = share(
        "close-before-start",
        "Share of exchanges closed before their tasks start",
    );
    let close_after_run = share(
        "close-after-run",
        "Share of exchanges closed after their tasks ran",
    );
    let wrong_answer = share(
        "wrong-answer",
        "Share of exchanges answered for another job",
    );
    let stop = share("stop", "Share of tasks that the worker stops");
    construct!(FaultPlan {
        fail,
        straggle,
        silent,
        close_before_start,
        close_after_run,
        wrong_answer,
        stop
    })
}

fn share(name: &'static str, help: &'static str) -> impl Parser<f64> {
    argument_with_default(name, help, 0.0).guard(
        |share: &f64| (0.0..=1.0).contains(share),
        "a share must be from 0 to 1",
    )
}
