//! Keys of the dispatcher's internal tables. They are cheaper to copy and
//! compare than the string ids of messages.

/// `JobKey` numbers jobs in the order of their admission.
pub(crate) type JobKey = u64;

/// `ServerKey` numbers server records; each incarnation has its own record.
pub(crate) type ServerKey = u64;

/// `PoolKey` is the index of a service's pool.
pub(crate) type PoolKey = usize;

/// `TeamKey` is the index of a team's quota.
pub(crate) type TeamKey = usize;

/// `InstitutionKey` is the index of an institution.
pub(crate) type InstitutionKey = usize;

/// `TaskPosition` is the position of a task in the task list of its job. It
/// differs from the task's index in chunks, which hold only a part of a job.
pub(crate) type TaskPosition = u32;
