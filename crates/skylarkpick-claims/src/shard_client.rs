//! The platform calls of one shard.

use crate::{
    claim::ClaimId,
    events::{Call, CallResult, FoundObject, ListedNumber},
};
use futures::future::join_all;
use prost::Message;
use skylarkpick_interface::{Object, ObjectStore, PlatformError, WriteError};
use skylarkpick_protocol::stored::{ClaimBatch, Outcome, claim_entry::Body};
use std::{future::Future, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Most objects in one listing.
const LIST_LIMIT: usize = 1_000;
/// Digits of an object's number in its key; zero-padded, so that keys sort by number.
const NUMBER_DIGITS: usize = 16;

/// Makes the platform calls of one shard.
#[derive(Clone)]
pub(crate) struct ShardClient {
    platform: Arc<dyn ObjectStore>,
    prefix: String,
    call_timeout: Duration,
}

impl ShardClient {
    pub(crate) fn open(
        platform: Arc<dyn ObjectStore>,
        shard: u32,
        call_timeout: Duration,
    ) -> ShardClient {
        ShardClient { platform, prefix: format!("claims/{shard:04}/"), call_timeout }
    }

    /// Makes a call. A read or listing that times out counts as failed, a write as unknown.
    pub(crate) async fn execute(self, call: Call) -> CallResult {
        match call {
            Call::List { after } => self.list(after).await,
            Call::Get { number, count } => self.get_many(number, count).await,
            Call::Put { number, batch } => self.put(number, &batch).await,
            Call::Delete { number, version } => {
                let key = self.object_key(number);
                // Another process may have deleted the object already. An object that stays after a
                // failure is deleted by another process or after the next start.
                let _ = timeout(self.call_timeout, self.platform.delete(&key, version)).await;
                CallResult::Deleted
            }
        }
    }

    /// Reads the outcome of a claim from the object that holds it.
    pub(crate) async fn outcome(
        &self,
        number: u64,
        claim_id: &ClaimId,
    ) -> Result<Option<Outcome>, String> {
        let object = self.get(number).await?;
        let batch = object.and_then(|found| found.batch).unwrap_or_default();
        let mut entries = batch.entries.into_iter().filter(|entry| entry.claim_id == *claim_id);
        Ok(entries.find_map(|entry| match entry.body {
            Some(Body::Outcome(outcome)) => Some(outcome),
            Some(Body::Claimed(_)) | None => None,
        }))
    }

    async fn list(&self, after: Option<u64>) -> CallResult {
        let after = after.map_or_else(String::new, |number| self.object_key(number));
        let call = self.platform.list(&self.prefix, &after, LIST_LIMIT);
        let listed = match with_timeout(self.call_timeout, call).await {
            Ok(listed) => listed,
            Err(reason) => return CallResult::Failed(reason),
        };
        let more = listed.len() == LIST_LIMIT;
        let numbers = listed.iter().filter_map(|object| {
            let number = object.key.strip_prefix(&self.prefix)?.parse().ok()?;
            Some(ListedNumber { number, more })
        });
        CallResult::Listed(numbers.collect())
    }

    async fn get_many(&self, number: u64, count: u64) -> CallResult {
        let reads = (number..number + count).map(|number| self.get(number));
        let found: Result<Vec<_>, String> = join_all(reads).await.into_iter().collect();
        found.map_or_else(CallResult::Failed, CallResult::Found)
    }

    async fn get(&self, number: u64) -> Result<Option<FoundObject>, String> {
        let key = self.object_key(number);
        let object = with_timeout(self.call_timeout, self.platform.get(&key)).await?;
        Ok(object.map(|Object { version, value }| FoundObject {
            version,
            batch: ClaimBatch::decode(value.as_slice()).ok(),
        }))
    }

    async fn put(&self, number: u64, batch: &ClaimBatch) -> CallResult {
        let key = self.object_key(number);
        let call = self.platform.put(&key, None, batch.encode_to_vec());
        match timeout(self.call_timeout, call).await {
            Ok(Ok(version)) => CallResult::Written(version),
            Ok(Err(WriteError::Conflict { .. })) => CallResult::Conflict,
            Ok(Err(WriteError::NotWritten(reason))) => CallResult::Failed(reason),
            Ok(Err(WriteError::Unknown(reason))) => CallResult::Unknown(reason),
            Err(_) => CallResult::Unknown("no response in time".to_string()),
        }
    }

    fn object_key(&self, number: u64) -> String {
        format!("{}{number:0width$}", self.prefix, width = NUMBER_DIGITS)
    }
}

async fn with_timeout<T>(
    call_timeout: Duration,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, String> {
    match timeout(call_timeout, call).await {
        Ok(response) => response.map_err(|error| error.to_string()),
        Err(_) => Err("no response in time".to_string()),
    }
}
