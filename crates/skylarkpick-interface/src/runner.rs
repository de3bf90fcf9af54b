//! A runner: a model engine that batches continuously and caches prompt prefixes.

use crate::ids::{
    AccountId, AdapterName, AttemptId, FencingNumber, Generation, ModelName, PrefixKey, RequestId,
    RunId, StoreId, WeightVersion,
};
use async_trait::async_trait;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Order in which a runner takes up work.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that can wait.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that a person or a closing slot waits for.
    High,
}

/// What a runner needs to run a prompt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRequest {
    /// Name of this run, chosen by the sender.
    pub run_id: RunId,
    /// Request that the run answers.
    pub request_id: RequestId,
    /// Attempt of that request.
    pub attempt_id: AttemptId,
    /// Client account that the run is for.
    pub account: AccountId,
    /// Model to run.
    pub model: ModelName,
    /// Adapter over the model.
    pub adapter: Option<AdapterName>,
    /// Weights that the sender's keys were made for.
    pub expected_weight_version: WeightVersion,
    /// The prompt.
    pub prompt: String,
    /// Keys of the prompt's full blocks, first block first.
    #[serde(with = "crate::hexadecimal::many")]
    pub prefix_keys: Vec<PrefixKey>,
    /// Prompt length by the sender's estimate.
    pub prompt_tokens: u64,
    /// Length at which the answer ends.
    pub answer_tokens_limit: u64,
    /// Tokens of the answer that the caller already has; the run goes on after them.
    pub delivered: Vec<String>,
    /// Order among other runs.
    pub priority: Priority,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached its length limit.
    Length,
    /// Somebody cancelled the run.
    Cancelled,
}

/// What a frame carries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FrameBody {
    /// The run was taken up; always the first frame.
    Started {
        /// Weights that the run uses to its end.
        weight_version: WeightVersion,
        /// Prompt tokens that the cache spared.
        cached_tokens: u64,
    },
    /// One token of the answer.
    Token {
        /// Position in the answer, from 0.
        offset: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole, or was cancelled.
    Finished {
        /// Why it ended.
        reason: FinishReason,
        /// Tokens in the whole answer.
        answer_tokens: u64,
    },
    /// The runner gave up on the run.
    Failed {
        /// What happened.
        message: String,
    },
}

/// One message of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunFrame {
    /// Run that the frame belongs to.
    pub run_id: RunId,
    /// Request that the run answers.
    pub request_id: RequestId,
    /// Attempt that the run belongs to.
    pub attempt_id: AttemptId,
    /// What the frame carries.
    pub body: FrameBody,
}

/// Frames of a run; an `Err` item says that the connection broke.
pub type FrameStream = BoxStream<'static, Result<RunFrame, StartError>>;

/// Why a run was not taken up, or its stream broke.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind", content = "message")]
pub enum StartError {
    /// No byte of the request left this process.
    #[error("not reached: {0}")]
    NotReached(String),
    /// The runner answered that it did not start the run.
    #[error("refused: {0}")]
    Refused(String),
    /// The runner answered that it did not start the run, because it leaves.
    #[error("the runner is leaving")]
    Leaving,
    /// The runner does not know the run, or it belongs to another client account.
    #[error("no such run")]
    NoSuchRun,
    /// The connection broke after the request was sent: the run may go on.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// What a runner reports of its load, some time after the fact.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Runs that wait for a place.
    pub queued_runs: u32,
    /// Prompt tokens that wait to be computed.
    pub queued_prompt_tokens: u64,
    /// Runs that produce tokens now.
    pub active_runs: u32,
    /// Runs that fit at once.
    pub slots: u32,
    /// Prompt tokens computed in a second when there is work.
    pub prefill_tokens_per_second: f64,
    /// Age of the report when it was given.
    pub age: Duration,
    /// Whether the runner says that it leaves.
    pub leaving: bool,
}

/// What happened to a prefix in a runner's cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block is held now.
    Added,
    /// The block is gone.
    Evicted,
}

/// One change of a runner's cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a hole in the row means that events were lost.
    pub sequence: u64,
    /// Block that changed.
    #[serde(with = "crate::hexadecimal::one")]
    pub prefix_key: PrefixKey,
    /// What happened to it.
    pub change: CacheChange,
}

/// Events that a runner hands out at once.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CacheEventBatch {
    /// Events in the order of their numbers, perhaps with holes.
    pub events: Vec<CacheEvent>,
    /// The whole cache as of `snapshot_sequence`, when it was asked for.
    #[serde(with = "crate::hexadecimal::optional_many")]
    pub snapshot: Option<Vec<PrefixKey>>,
    /// Last event that the snapshot covers.
    pub snapshot_sequence: u64,
}

/// Order to save a prefix into a store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExportOrder {
    /// Store that receives the blocks.
    pub store: StoreId,
    /// Address of the store.
    pub store_address: String,
    /// Last block of the prefix.
    #[serde(with = "crate::hexadecimal::one")]
    pub prefix_key: PrefixKey,
    /// Generation that the store reserved.
    pub generation: Generation,
    /// Weights that the blocks must have been computed with.
    pub weight_version: WeightVersion,
    /// Tokens in the prefix.
    pub tokens: u64,
}

/// What a finished export wrote.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExportReceipt {
    /// Digest of the bytes written.
    pub digest: String,
    /// Bytes written.
    pub size_bytes: u64,
}

/// Order to load a saved prefix from a store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportOrder {
    /// Store that holds the blocks.
    pub store: StoreId,
    /// Address of the store.
    pub store_address: String,
    /// Last block of the prefix.
    #[serde(with = "crate::hexadecimal::one")]
    pub prefix_key: PrefixKey,
    /// Every block of the prefix, first block first.
    #[serde(with = "crate::hexadecimal::many")]
    pub prefix_keys: Vec<PrefixKey>,
    /// Generation that is pinned for this import.
    pub generation: Generation,
    /// Digest that the bytes must have.
    pub digest: String,
    /// Weights that the blocks were computed with.
    pub weight_version: WeightVersion,
    /// Tokens in the prefix.
    pub tokens: u64,
}

/// What a confirmed import brought.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportReceipt {
    /// Bytes that crossed the store's link.
    pub size_bytes: u64,
}

/// Why a transfer did not take place. The blocks that it was about are not used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind", content = "message")]
pub enum TransferError {
    /// The runner does not hold the prefix.
    #[error("the runner does not hold the prefix")]
    NotHeld,
    /// The bytes read have another digest, length or generation.
    #[error("the saved bytes do not match the manifest: {0}")]
    Mismatch(String),
    /// The runner's weights are of another version.
    #[error("the runner serves weight version {0}")]
    OtherWeights(WeightVersion),
    /// Store or runner could not be reached, or gave up.
    #[error("the transfer failed: {0}")]
    Failed(String),
}

/// What a runner is ordered to become.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Serve this model at this weight version.
    Load {
        /// Model to serve.
        model: ModelName,
        /// Weights to serve.
        weight_version: WeightVersion,
        /// Adapters to hold beside the model.
        adapters: Vec<AdapterName>,
    },
    /// Take no new runs and finish those under way.
    Leave,
}

/// An order under a fencing number. It states the wanted end, so that repeating it is harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Number of the lease that the sender holds.
    pub fencing_number: FencingNumber,
    /// The wanted end.
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
    /// No answer: the order may take effect.
    #[error("no answer to the order: {0}")]
    Unknown(String),
}

/// What a runner is and serves now.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerStatus {
    /// Model served.
    pub model: ModelName,
    /// Weights that new runs get.
    pub weight_version: WeightVersion,
    /// Weights being loaded.
    pub loading: Option<WeightVersion>,
    /// Whether new runs are refused because the runner leaves.
    pub leaving: bool,
    /// Changes with each start of the runner.
    pub incarnation: u64,
}

/// A model engine.
#[async_trait]
pub trait Runner: Send + Sync {
    /// Starts a run. An `Err` says whether the run can have started.
    async fn start(&self, request: RunRequest) -> Result<FrameStream, StartError>;

    /// Takes up the frames of a run again, from answer position `offset`.
    async fn resume(
        &self,
        run_id: &str,
        account: &str,
        offset: u64,
    ) -> Result<FrameStream, StartError>;

    /// Ends a run; an unknown run is not an error.
    async fn cancel(&self, run_id: &str) -> Result<(), StartError>;

    /// Reads the lagging load report.
    async fn load(&self) -> Result<LoadReport, StartError>;

    /// Reads cache events after `after`, with the whole cache if `snapshot` is set.
    async fn cache_events(&self, after: u64, snapshot: bool)
    -> Result<CacheEventBatch, StartError>;

    /// Loads a saved prefix; returns once the blocks can be used.
    async fn import(&self, order: ImportOrder) -> Result<ImportReceipt, TransferError>;

    /// Saves a prefix; returns once every byte is in the store.
    async fn export(&self, order: ExportOrder) -> Result<ExportReceipt, TransferError>;

    /// Gives an order; returns once it is carried out.
    async fn order(&self, order: Order) -> Result<(), OrderError>;

    /// Reads what the runner serves.
    async fn status(&self) -> Result<RunnerStatus, StartError>;
}
