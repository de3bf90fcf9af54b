//! Type aliases for IDs and version numbers shared between modules.

/// Name of a client account.
pub type AccountId = String;
/// Name of a model adapter.
pub type AdapterName = String;
/// Number of an attempt within its request, starting at 1.
pub type AttemptId = u32;
/// Version of an accepted configuration; monotonically increasing.
pub type ConfigurationVersion = u64;
/// Name of a data centre.
pub type DataCentreId = String;
/// ID of an entry process; every start of the process has a new one.
pub type EntryId = String;
/// Number issued with a lease; a holder with a larger number supersedes those with smaller ones.
pub type FencingNumber = u64;
/// Number of a save of a prefix in a store; increases with each save.
pub type Generation = u64;
/// Key that the caller assigns to a non-repeatable request.
pub type IdempotencyKey = String;
/// Name of a model.
pub type ModelName = String;
/// Digest of a block and of everything that determines its content: client account, model, adapter,
/// weight version and all preceding tokens.
pub type PrefixKey = u128;
/// ID of a caller's request.
pub type RequestId = String;
/// ID of a run at a runner; each attempt has its own.
pub type RunId = String;
/// Name of a runner.
pub type RunnerId = String;
/// Name of a plain service.
pub type ServiceName = String;
/// Version of the software of a target. Versions have no order.
pub type SoftwareVersion = String;
/// Name of a store VM.
pub type StoreId = String;
/// Name of a target: a runner, a store, or an instance of a plain service.
pub type TargetId = String;
/// Version of a model's weights.
pub type WeightVersion = u64;
