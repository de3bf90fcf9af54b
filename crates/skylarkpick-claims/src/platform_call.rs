//! Carries a shard's calls out on a platform.

use crate::{
    claim::ClaimId,
    events::{Answer, Call, FoundObject, ListedNumber},
};
use futures::future::join_all;
use prost::Message;
use skylarkpick_interface::{Object, ObjectStore, PlatformError, WriteError};
use skylarkpick_protocol::stored::{ClaimBatch, Outcome, claim_entry::Body};
use std::{future::Future, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Lines of one listing.
const LIST_COUNT: usize = 1_000;
/// Digits of an object's number; enough that names sort as numbers do.
const NUMBER_DIGITS: usize = 16;

/// Makes the calls of one shard.
#[derive(Clone)]
pub(crate) struct ShardCaller {
    platform: Arc<dyn ObjectStore>,
    prefix: String,
    call_timeout: Duration,
}

impl ShardCaller {
    pub(crate) fn open(
        platform: Arc<dyn ObjectStore>,
        shard: u32,
        call_timeout: Duration,
    ) -> ShardCaller {
        ShardCaller { platform, prefix: format!("claims/{shard:04}/"), call_timeout }
    }

    /// Makes a call and gives its answer; a read without answer counts as failed.
    pub(crate) async fn make(self, call: Call) -> Answer {
        match call {
            Call::List { after } => self.list(after).await,
            Call::Get { number, count } => self.get_many(number, count).await,
            Call::Put { number, batch } => self.put(number, &batch).await,
            Call::Delete { number, version } => {
                let name = self.name(number);
                // Another process may have deleted it; whatever stays is tried by the next start.
                let _ = timeout(self.call_timeout, self.platform.delete(&name, version)).await;
                Answer::Deleted
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

    async fn list(&self, after: Option<u64>) -> Answer {
        let after = after.map_or_else(String::new, |number| self.name(number));
        let call = self.platform.list(&self.prefix, &after, LIST_COUNT);
        let listed = match in_time(self.call_timeout, call).await {
            Ok(listed) => listed,
            Err(why) => return Answer::Failed(why),
        };
        let more = listed.len() == LIST_COUNT;
        let numbers = listed.iter().filter_map(|object| {
            let number = object.key.strip_prefix(&self.prefix)?.parse().ok()?;
            Some(ListedNumber { number, more })
        });
        Answer::Listed(numbers.collect())
    }

    async fn get_many(&self, number: u64, count: u64) -> Answer {
        let reads = (number..number + count).map(|number| self.get(number));
        let found: Result<Vec<_>, String> = join_all(reads).await.into_iter().collect();
        found.map_or_else(Answer::Failed, Answer::Found)
    }

    async fn get(&self, number: u64) -> Result<Option<FoundObject>, String> {
        let name = self.name(number);
        let object = in_time(self.call_timeout, self.platform.get(&name)).await?;
        Ok(object.map(|Object { version, value }| FoundObject {
            version,
            batch: ClaimBatch::decode(value.as_slice()).ok(),
        }))
    }

    async fn put(&self, number: u64, batch: &ClaimBatch) -> Answer {
        let name = self.name(number);
        let call = self.platform.put(&name, None, batch.encode_to_vec());
        match timeout(self.call_timeout, call).await {
            Ok(Ok(version)) => Answer::Written(version),
            Ok(Err(WriteError::Conflict { .. })) => Answer::Conflict,
            Ok(Err(WriteError::NotWritten(why))) => Answer::Failed(why),
            Ok(Err(WriteError::Unknown(why))) => Answer::Unknown(why),
            Err(_) => Answer::Unknown("no answer in time".to_string()),
        }
    }

    fn name(&self, number: u64) -> String {
        format!("{}{number:0width$}", self.prefix, width = NUMBER_DIGITS)
    }
}

async fn in_time<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, String> {
    match timeout(limit, call).await {
        Ok(answer) => answer.map_err(|error| error.to_string()),
        Err(_) => Err("no answer in time".to_string()),
    }
}
