//! Client of the platform's object API over HTTP.
//!
//! | call | path |
//! |---|---|
//! | get | `GET /objects/KEY`: 200 with the version in a header, or 404 |
//! | put | `PUT /objects/KEY` with `if-match: VERSION` or `if-none-match: *`; 412 on a conflict |
//! | delete | `DELETE /objects/KEY` with `if-match: VERSION` |
//! | list | `GET /list?prefix=P&after=A&limit=N` |
//! | watch | `GET /watch/KEY?seen=VERSION&timeout_ms=N`: as get, or 204 after the timeout |
//! | VMs | `GET /vms` |

use crate::client::{CallError, HttpClient};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use skylarkpick_interface::{
    ListedObject, ListedVm, Object, ObjectKey, ObjectStore, PlatformError, StoreRevision,
    WriteError,
};
use std::time::Duration;

/// Entry of a listing in this API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedObjectBody {
    /// Path of the object.
    pub key: ObjectKey,
    /// Version of the last write.
    pub version: u64,
}

/// Response header with the version of an object.
pub const OBJECT_VERSION_HEADER: &str = "x-object-version";

/// Client of the platform's object API over HTTP.
#[derive(Clone)]
pub struct HttpPlatform {
    client: HttpClient,
    address: String,
    timeout: Duration,
}

impl HttpPlatform {
    /// Opens a client of the platform at `address` with a `timeout` for each call.
    pub fn open(address: &str, timeout: Duration) -> HttpPlatform {
        HttpPlatform { client: HttpClient::open(), address: address.to_string(), timeout }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        condition: Option<(&str, String)>,
        value: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let mut request =
            Request::builder().method(method).uri(format!("http://{}/{path}", self.address));
        if let Some((name, value)) = condition {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(value)))
            .map_err(|error| CallError::NotConnected(error.to_string()))?;
        self.client.send_buffered(request, timeout).await
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<Response<Bytes>, PlatformError> {
        let response = self
            .call("GET", path, None, Vec::new(), timeout)
            .await
            .map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::RateLimited),
            status if status.is_server_error() => {
                Err(PlatformError::Unavailable(status.to_string()))
            }
            _ => Ok(response),
        }
    }

    async fn read_json<R: DeserializeOwned>(&self, path: &str) -> Result<R, PlatformError> {
        let response = self.read(path, self.timeout).await?;
        serde_json::from_slice(response.body())
            .map_err(|error| PlatformError::Unavailable(format!("invalid response: {error}")))
    }
}

fn decode_object(response: &Response<Bytes>) -> Option<Object> {
    if response.status() != StatusCode::OK {
        return None;
    }
    Some(Object { version: object_version(response)?, value: response.body().to_vec() })
}

fn object_version(response: &Response<Bytes>) -> Option<StoreRevision> {
    let number = response.headers().get(OBJECT_VERSION_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(object_revision(number))
}

/// Returns the revision of a version in this API, which names no eras.
pub fn object_revision(version: u64) -> StoreRevision {
    StoreRevision { era: 0, number: version }
}

fn write_result(response: Result<Response<Bytes>, CallError>) -> Result<StoreRevision, WriteError> {
    let response = response.map_err(|error| match error {
        CallError::NotConnected(reason) => WriteError::NotWritten(reason),
        other => WriteError::Unknown(other.to_string()),
    })?;
    match response.status() {
        StatusCode::PRECONDITION_FAILED => {
            Err(WriteError::Conflict { current: object_version(&response) })
        }
        status if status.is_client_error() => Err(WriteError::NotWritten(status.to_string())),
        status if !status.is_success() => Err(WriteError::Unknown(status.to_string())),
        _ => object_version(&response)
            .ok_or_else(|| WriteError::Unknown("the response has no object version".to_string())),
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let response = self.read(&format!("objects/{key}"), self.timeout).await?;
        Ok(decode_object(&response))
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
    ) -> Result<StoreRevision, WriteError> {
        let condition = match expected {
            Some(version) => ("if-match", version.number.to_string()),
            None => ("if-none-match", "*".to_string()),
        };
        let path = format!("objects/{key}");
        write_result(self.call("PUT", &path, Some(condition), value, self.timeout).await)
    }

    async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), WriteError> {
        let condition = ("if-match", expected.number.to_string());
        let path = format!("objects/{key}");
        let response = self.call("DELETE", &path, Some(condition), Vec::new(), self.timeout).await;
        write_result(response).map(|_| ())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        count_limit: usize,
    ) -> Result<Vec<ListedObject>, PlatformError> {
        let path = format!("list?prefix={prefix}&after={after}&limit={count_limit}");
        let listed: Vec<ListedObjectBody> = self.read_json(&path).await?;
        let listed = listed.into_iter();
        Ok(listed
            .map(|it| ListedObject { key: it.key, version: object_revision(it.version) })
            .collect())
    }

    async fn watch(
        &self,
        key: &str,
        seen: StoreRevision,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let timeout_ms = timeout.as_millis();
        let seen = seen.number;
        let path = format!("watch/{key}?seen={seen}&timeout_ms={timeout_ms}");
        let response = self.read(&path, timeout + self.timeout).await?;
        Ok(decode_object(&response))
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        self.read_json("vms").await
    }
}
