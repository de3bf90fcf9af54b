//! Client of a store VM over HTTP.
//!
//! Each call is `POST /v1/CALL` with a JSON body of [`store_messages`](crate::store_messages);
//! a rejection is status 409 with the error as JSON.

use crate::{
    client::{CallError, HttpClient},
    store_messages::{PinResponse, PrefixBody, WriteBody, from_hexadecimal, to_hexadecimal},
};
use async_trait::async_trait;
use serde::{Serialize, de::DeserializeOwned};
use skylarkpick_interface::{
    Generation, Manifest, PinId, PrefixKey, SavedPrefix, Store, StoreError, StoreStatus,
    format_prefix_key,
};
use std::time::Duration;

/// Timeout of a call, which includes the time that a transfer waits for the store's link.
const STORE_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of a store VM over HTTP.
pub struct HttpStore {
    client: HttpClient,
    address: String,
}

impl HttpStore {
    /// Opens a client of the store at `address`.
    pub fn open(client: HttpClient, address: &str) -> HttpStore {
        HttpStore { client, address: address.to_string() }
    }

    async fn post<R: DeserializeOwned>(
        &self,
        call: &str,
        value: &impl Serialize,
    ) -> Result<R, StoreError> {
        let uri = format!("http://{}/v1/{call}", self.address);
        self.client.request_json("POST", &uri, value, STORE_TIMEOUT).await.map_err(store_error)
    }
}

fn prefix_body(prefix_key: PrefixKey, generation: Generation, digest: &str) -> PrefixBody {
    PrefixBody { prefix_key: format_prefix_key(prefix_key), generation, digest: digest.to_string() }
}

fn store_error(error: CallError) -> StoreError {
    match error {
        CallError::Status { status: 409, message } => {
            serde_json::from_str(&message).unwrap_or(StoreError::Failed(message))
        }
        other => StoreError::Failed(other.to_string()),
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn reserve(&self, prefix: SavedPrefix) -> Result<Generation, StoreError> {
        self.post("reserve", &prefix).await
    }

    async fn write(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        content: Vec<u8>,
        size_bytes: u64,
    ) -> Result<String, StoreError> {
        let prefix_key = format_prefix_key(prefix_key);
        let content = to_hexadecimal(&content);
        self.post("write", &WriteBody { prefix_key, generation, content, size_bytes }).await
    }

    async fn seal(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        digest: &str,
    ) -> Result<(), StoreError> {
        self.post("seal", &prefix_body(prefix_key, generation, digest)).await
    }

    async fn pin(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<(PinId, Manifest), StoreError> {
        let response: PinResponse =
            self.post("pin", &prefix_body(prefix_key, generation, "")).await?;
        Ok((response.pin, response.manifest))
    }

    async fn read(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<Vec<u8>, StoreError> {
        let content: String = self.post("read", &prefix_body(prefix_key, generation, "")).await?;
        from_hexadecimal(&content)
            .ok_or_else(|| StoreError::Failed("the content is not hexadecimal".to_string()))
    }

    async fn unpin(&self, pin: PinId) -> Result<(), StoreError> {
        self.post("unpin", &pin).await
    }

    async fn retire(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<(), StoreError> {
        self.post("retire", &prefix_body(prefix_key, generation, "")).await
    }

    async fn manifests(
        &self,
        after: Option<PrefixKey>,
        count_limit: usize,
    ) -> Result<Vec<Manifest>, StoreError> {
        self.post("manifests", &(after.map(format_prefix_key), count_limit)).await
    }

    async fn status(&self) -> Result<StoreStatus, StoreError> {
        self.post("status", &()).await
    }
}
