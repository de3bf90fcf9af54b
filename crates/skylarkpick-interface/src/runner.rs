//! Runners: model engines with continuous batching and a prefix cache.

use crate::ids::{
    AccountId, AdapterName, AttemptId, FencingNumber, Generation, ModelName, PrefixKey, RequestId,
    RunId, StoreId, WeightVersion,
};
use async_trait::async_trait;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Scheduling priority of a run.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Background work.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that a person is waiting for, or that has a closing time slot.
    High,
}

/// Request to run a prompt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRequest {
    /// ID of this run, assigned by the sender.
    pub run_id: RunId,
    /// Request that the run belongs to.
    pub request_id: RequestId,
    /// Attempt of that request.
    pub attempt_id: AttemptId,
    /// Client account of the request.
    pub account: AccountId,
    /// Model to run.
    pub model: ModelName,
    /// Adapter to apply to the model.
    pub adapter: Option<AdapterName>,
    /// Weight version for which the sender computed `prefix_keys`.
    pub expected_weight_version: WeightVersion,
    /// Text of the prompt.
    pub prompt: String,
    /// Keys of the prompt's full blocks, in order.
    #[serde(with = "crate::hexadecimal::many")]
    pub prefix_keys: Vec<PrefixKey>,
    /// Prompt length, as estimated by the sender.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub answer_tokens_limit: u64,
    /// Generated tokens that the caller already has; the run continues after them.
    pub delivered: Vec<String>,
    /// Scheduling priority.
    pub priority: Priority,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model completed its output.
    Stop,
    /// The output reached its length limit.
    Length,
    /// The run was cancelled.
    Cancelled,
}

/// Content of a frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FrameBody {
    /// The run has started; always the first frame.
    Started {
        /// Weight version that the whole run uses.
        weight_version: WeightVersion,
        /// Prompt tokens found in the cache.
        cached_tokens: u64,
    },
    /// One generated token.
    Token {
        /// Position in the output, starting at 0.
        offset: u64,
        /// Text of the token.
        text: String,
    },
    /// The run is complete or was cancelled.
    Finished {
        /// Why it ended.
        reason: FinishReason,
        /// Number of tokens in the complete output.
        answer_tokens: u64,
    },
    /// The runner abandoned the run.
    Failed {
        /// Description of the failure.
        message: String,
    },
}

/// One message of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunFrame {
    /// Run that the frame belongs to.
    pub run_id: RunId,
    /// Request that the run belongs to.
    pub request_id: RequestId,
    /// Attempt that the run belongs to.
    pub attempt_id: AttemptId,
    /// Content of the frame.
    pub body: FrameBody,
}

/// Stream of a run's frames; an `Err` item means that the connection failed.
pub type FrameStream = BoxStream<'static, Result<RunFrame, StartError>>;

/// Why a run did not start, or its stream failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind", content = "message")]
pub enum StartError {
    /// No byte of the request left this process.
    #[error("not sent: {0}")]
    NotReached(String),
    /// The runner reported that it did not start the run.
    #[error("refused: {0}")]
    Refused(String),
    /// The runner reported that it did not start the run because it is shutting down.
    #[error("the runner is shutting down")]
    Leaving,
    /// The runner does not know the run, or it belongs to another client account.
    #[error("no such run")]
    NoSuchRun,
    /// The connection failed after the request was sent: the run may continue.
    #[error("the connection failed: {0}")]
    Broken(String),
}

/// Load report of a runner, which lags behind its actual load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Runs waiting for a slot.
    pub queued_runs: u32,
    /// Prompt tokens waiting for prefill.
    pub queued_prompt_tokens: u64,
    /// Runs that are generating tokens.
    pub active_runs: u32,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Prefill throughput under load.
    pub prefill_tokens_per_second: f64,
    /// Age of the report when the runner sent it.
    pub age: Duration,
    /// Whether the runner is shutting down.
    pub leaving: bool,
}

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Added,
    /// The block was evicted.
    Evicted,
}

/// Change of one block in a runner's cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// Key of the block.
    #[serde(with = "crate::hexadecimal::one")]
    pub prefix_key: PrefixKey,
    /// Whether the block was added or evicted.
    pub change: CacheChange,
}

/// Batch of cache events, optionally with a snapshot of the cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CacheEventBatch {
    /// Events in sequence order, possibly with gaps.
    pub events: Vec<CacheEvent>,
    /// Keys of all cached blocks as of `snapshot_sequence`, if requested.
    #[serde(with = "crate::hexadecimal::optional_many")]
    pub snapshot: Option<Vec<PrefixKey>>,
    /// Sequence number of the last event that the snapshot includes.
    pub snapshot_sequence: u64,
}

/// Order to a runner to save a prefix in a store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExportOrder {
    /// Store that receives the blocks.
    pub store: StoreId,
    /// Address of the store.
    pub store_address: String,
    /// Key of the prefix's last block.
    #[serde(with = "crate::hexadecimal::one")]
    pub prefix_key: PrefixKey,
    /// Generation that the store reserved.
    pub generation: Generation,
    /// Weights that the blocks must have been computed with.
    pub weight_version: WeightVersion,
    /// Tokens in the prefix.
    pub tokens: u64,
}

/// Result of a completed export.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExportReceipt {
    /// Digest of the bytes written.
    pub digest: String,
    /// Bytes written.
    pub size_bytes: u64,
}

/// Order to a runner to load a saved prefix from a store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportOrder {
    /// Store that holds the blocks.
    pub store: StoreId,
    /// Address of the store.
    pub store_address: String,
    /// Key of the prefix's last block.
    #[serde(with = "crate::hexadecimal::one")]
    pub prefix_key: PrefixKey,
    /// Keys of all blocks of the prefix, in order.
    #[serde(with = "crate::hexadecimal::many")]
    pub prefix_keys: Vec<PrefixKey>,
    /// Generation that is pinned for this import.
    pub generation: Generation,
    /// Expected digest of the bytes.
    pub digest: String,
    /// Weights that the blocks were computed with.
    pub weight_version: WeightVersion,
    /// Tokens in the prefix.
    pub tokens: u64,
}

/// Result of a completed import.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportReceipt {
    /// Bytes transferred over the store's link.
    pub size_bytes: u64,
}

/// Why a transfer failed. Its blocks are not used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind", content = "message")]
pub enum TransferError {
    /// The prefix is not in the runner's cache.
    #[error("the runner does not hold the prefix")]
    NotHeld,
    /// The digest, length or generation of the bytes differs from the manifest.
    #[error("the saved bytes do not match the manifest: {0}")]
    Mismatch(String),
    /// The runner serves another weight version.
    #[error("the runner serves weight version {0}")]
    OtherWeights(WeightVersion),
    /// The store or the runner was unreachable or abandoned the transfer.
    #[error("the transfer failed: {0}")]
    Failed(String),
}

/// Desired state that an order sets for a runner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Serve this model at this weight version.
    Load {
        /// Model to serve.
        model: ModelName,
        /// Weights to serve.
        weight_version: WeightVersion,
        /// Adapters to load with the model.
        adapters: Vec<AdapterName>,
    },
    /// Accept no new runs and finish the current ones.
    Leave,
}

/// Order with a fencing number. It states a desired state, so repeating it is harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fencing_number: FencingNumber,
    /// Desired state.
    pub kind: OrderKind,
}

/// Why an order was not confirmed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind", content = "message")]
pub enum OrderError {
    /// The runner has seen a larger fencing number.
    #[error("the runner has seen fencing number {0}")]
    Fenced(FencingNumber),
    /// The runner did not carry the order out.
    #[error("refused: {0}")]
    Refused(String),
    /// No response arrived: the order may take effect.
    #[error("no response to the order: {0}")]
    Unknown(String),
}

/// Current status of a runner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerStatus {
    /// Model that it serves.
    pub model: ModelName,
    /// Weights that new runs use.
    pub weight_version: WeightVersion,
    /// Weights that are being loaded.
    pub loading: Option<WeightVersion>,
    /// Whether new runs are refused because the runner is shutting down.
    pub leaving: bool,
    /// Incarnation number, which changes on every start of the runner.
    pub incarnation: u64,
}

/// Client for a model engine.
#[async_trait]
pub trait Runner: Send + Sync {
    /// Starts a run. The error tells whether the run may have started.
    async fn start(&self, request: RunRequest) -> Result<FrameStream, StartError>;

    /// Resumes the frames of a run from output position `offset`.
    async fn resume(
        &self,
        run_id: &str,
        account: &str,
        offset: u64,
    ) -> Result<FrameStream, StartError>;

    /// Cancels a run; an unknown run is not an error.
    async fn cancel(&self, run_id: &str) -> Result<(), StartError>;

    /// Reads the lagging load report.
    async fn load(&self) -> Result<LoadReport, StartError>;

    /// Reads cache events after sequence number `after`, with a snapshot if `snapshot` is set.
    async fn cache_events(&self, after: u64, snapshot: bool)
    -> Result<CacheEventBatch, StartError>;

    /// Loads a saved prefix; returns when the blocks can be used.
    async fn import(&self, order: ImportOrder) -> Result<ImportReceipt, TransferError>;

    /// Saves a prefix; returns when every byte is in the store.
    async fn export(&self, order: ExportOrder) -> Result<ExportReceipt, TransferError>;

    /// Sends an order; returns when it has been carried out.
    async fn order(&self, order: Order) -> Result<(), OrderError>;

    /// Reads the runner's status.
    async fn status(&self) -> Result<RunnerStatus, StartError>;
}
