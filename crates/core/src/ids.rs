//! Type aliases for the identifiers that messages and state share.

/// `RequestId` is chosen by the caller and is echoed in every answer.
pub type RequestId = String;

/// `ClaimKey` names a request that is not repeatable across the system, as
/// `<institution>/<request id>`. Callers of different institutions may choose
/// the same request id.
pub type ClaimKey = String;

/// `JobId` names one submission. It is unique for the life of the system: an
/// entry host builds it from its id, its start time and a counter.
pub type JobId = String;

/// `TaskIndex` is the position of a task in its job, from 0.
pub type TaskIndex = u32;

/// `TaskId` names one task of one job across all processes.
pub type TaskId = (JobId, TaskIndex);

/// `ServiceId` names a service of the configuration.
pub type ServiceId = String;

/// `InstitutionId` names an institution of the configuration.
pub type InstitutionId = String;

/// `TeamId` names a team within its institution.
pub type TeamId = String;

/// `FailureDomainId` names a failure domain, for example `almaty-a`.
pub type FailureDomainId = String;

/// `RackId` names a rack within a failure domain.
pub type RackId = String;

/// `WorkerId` names the machine that a backend server runs on.
pub type WorkerId = String;

/// `ServerId` names a backend server.
pub type ServerId = String;

/// `Incarnation` distinguishes successive starts of one backend server; it
/// grows with each start.
pub type Incarnation = u64;

/// `GrantId` numbers the leases that one backend server has given; a server
/// refuses tasks of any grant but its latest.
pub type GrantId = u64;

/// `ExchangeId` numbers one request and answer between an entry host and a
/// backend server, unique within the entry host's process.
pub type ExchangeId = u64;

/// `ChunkId` numbers one group of forwarded tasks, unique within the sending
/// entry host's process.
pub type ChunkId = u64;

/// `HostId` names an entry host or a control host.
pub type HostId = String;

/// `ReplicaId` names one incarnation of a member of the control group. A
/// control host that lost its disk gets a new one.
pub type ReplicaId = u64;

/// `ConfigVersion` numbers accepted configurations from 1; 0 means none.
pub type ConfigVersion = u64;

/// `ChangeId` is chosen by the operator's client and makes a resent change
/// idempotent.
pub type ChangeId = String;

/// `OperatorId` names the person or program that makes a change.
pub type OperatorId = String;
