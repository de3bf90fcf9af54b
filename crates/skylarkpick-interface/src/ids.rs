//! Aliases for the ids and numbers that cross module borders.

/// Names a client account.
pub type AccountId = String;
/// Names a model adapter.
pub type AdapterName = String;
/// Numbers the attempts of one request, from 1.
pub type AttemptId = u32;
/// Number of an accepted configuration; only grows.
pub type ConfigurationVersion = u64;
/// Names a data centre.
pub type DataCentreId = String;
/// Names an entry process, unique for each start of it.
pub type EntryId = String;
/// Number given out with a lease; a larger one replaces a smaller one.
pub type FencingNumber = u64;
/// Counts the times that a prefix was saved in a store.
pub type Generation = u64;
/// The caller's own key for one non-repeatable request.
pub type IdempotencyKey = String;
/// Names a model.
pub type ModelName = String;
/// Digest of a block and of all that decides its content: client account, model, adapter,
/// weight version and every token before it.
pub type PrefixKey = u128;
/// Names a caller's request.
pub type RequestId = String;
/// Names one run at a runner; no two attempts share it.
pub type RunId = String;
/// Names a runner.
pub type RunnerId = String;
/// Names a plain service.
pub type ServiceName = String;
/// Names a store VM.
pub type StoreId = String;
/// Names a target: a runner, a store, or an instance of a plain service.
pub type TargetId = String;
/// Number of a model's weights.
pub type WeightVersion = u64;
