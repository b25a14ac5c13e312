//! Keys of the dispatcher's own tables. They are cheaper to copy and compare
//! than the ids of messages.

/// `JobKey` numbers jobs in the order of their admission.
pub(crate) type JobKey = u64;

/// `ServerKey` numbers server records; a new incarnation gets a new record.
pub(crate) type ServerKey = u64;

/// `PoolKey` is the position of a service's pool.
pub(crate) type PoolKey = usize;

/// `TeamKey` is the position of a team's quota.
pub(crate) type TeamKey = usize;

/// `InstitutionKey` is the position of an institution.
pub(crate) type InstitutionKey = usize;

/// `TaskPosition` is the position of a task in the task list of its job. It
/// differs from the task's index in the jobs that peers forward in part.
pub(crate) type TaskPosition = u32;
