//! Type aliases for the identifiers used in messages and in state.

/// `RequestId` identifies a request. The caller chooses it, and every answer
/// echoes it.
pub type RequestId = String;

/// `ClaimKey` identifies a request that is not repeatable, as
/// `<institution>/<request id>`. It includes the institution because callers of
/// different institutions may choose the same request id.
pub type ClaimKey = String;

/// `JobId` identifies one submission. It is unique for the lifetime of the
/// system: an entry host builds it from its id, its start time and a counter.
pub type JobId = String;

/// `TaskIndex` is the position of a task in its job, counted from 0.
pub type TaskIndex = u32;

/// `TaskId` identifies one task of one job across all processes.
pub type TaskId = (JobId, TaskIndex);

/// `ServiceId` identifies a service of the configuration.
pub type ServiceId = String;

/// `InstitutionId` identifies an institution of the configuration.
pub type InstitutionId = String;

/// `TeamId` identifies a team within its institution.
pub type TeamId = String;

/// `FailureDomainId` identifies a failure domain, for example `almaty-a`.
pub type FailureDomainId = String;

/// `RackId` identifies a rack within a failure domain.
pub type RackId = String;

/// `WorkerId` identifies a worker: a guarded worker, or the machine that a
/// backend server runs on.
pub type WorkerId = String;

/// `ServerId` identifies a backend server.
pub type ServerId = String;

/// `Incarnation` distinguishes successive starts of one backend server. It
/// increases with each start.
pub type Incarnation = u64;

/// `GrantId` numbers the leases that one backend server has granted, as a
/// fencing token: the server refuses tasks under any lease but the latest.
pub type GrantId = u64;

/// `ExchangeId` numbers one request and its answer between an entry host and a
/// backend server. It is unique within the entry host's process.
pub type ExchangeId = u64;

/// `ChunkId` numbers one group of forwarded tasks. It is unique within the
/// sending entry host's process.
pub type ChunkId = u64;

/// `HostId` identifies an entry host or a control host.
pub type HostId = String;

/// `ReplicaId` identifies one incarnation of a member of the control group. A
/// control host that lost its disk gets a new id.
pub type ReplicaId = u64;

/// `ConfigVersion` numbers the accepted configurations from 1; 0 means none.
pub type ConfigVersion = u64;

/// `ChangeId` identifies a change. The operator's client chooses it, and it
/// makes resending the change idempotent.
pub type ChangeId = String;

/// `OperatorId` identifies the person or program that makes a change.
pub type OperatorId = String;
