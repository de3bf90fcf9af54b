//! HTTP client for the operator API of an entry process.

use crate::command::UsageError;
use anyhow::{Context, bail};
use bytes::Bytes;
use getopts::{Matches, Options};
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use skylarkpick_http::HttpClient;
use std::{net::SocketAddr, time::Duration};

/// Default environment variable for the operator token.
const DEFAULT_TOKEN_VARIABLE: &str = "SKYLARKPICK_TOKEN";
/// Maximum time for a response of the entry process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client for the operator API of one entry process.
pub(crate) struct OperatorClient {
    address: SocketAddr,
    token: String,
    client: HttpClient,
}

/// Adds the option `--token-environment`, which names the environment variable with the token.
pub(crate) fn add_token_option(options: &mut Options) {
    let help =
        format!("environment variable with the operator token (default {DEFAULT_TOKEN_VARIABLE})");
    options.optopt("", "token-environment", &help, "NAME");
}

impl OperatorClient {
    /// Opens a client for the entry process at `address`. Reads the token from the environment
    /// variable that the options name.
    ///
    /// # Errors
    /// [`UsageError`] when the address is invalid or the variable is not set.
    pub(crate) fn open(address: &str, matches: &Matches) -> anyhow::Result<OperatorClient> {
        let address = address
            .parse()
            .map_err(|_| UsageError(format!("invalid address {address:?}; expected IP:port")))?;
        let name = matches.opt_str("token-environment");
        let name = name.as_deref().unwrap_or(DEFAULT_TOKEN_VARIABLE);
        let token = std::env::var(name).map_err(|_| {
            UsageError(format!(
                "the environment variable {name} does not contain an operator token"
            ))
        })?;
        Ok(OperatorClient { address, token, client: HttpClient::open() })
    }

    /// Sends a GET request and returns the JSON response.
    pub(crate) async fn get(&self, path: &str) -> anyhow::Result<Value> {
        self.send("GET", path, Bytes::new()).await
    }

    /// Sends a PATCH request and returns the JSON response.
    pub(crate) async fn patch(&self, path: &str, body: &Value) -> anyhow::Result<Value> {
        self.send("PATCH", path, Bytes::from(body.to_string())).await
    }

    async fn send(&self, method: &str, path: &str, body: Bytes) -> anyhow::Result<Value> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|_| {
                UsageError(
                    "the token contains characters that are not allowed in an HTTP header"
                        .to_string(),
                )
            })?;
        let response = self
            .client
            .send_buffered(request, RESPONSE_TIMEOUT)
            .await
            .with_context(|| format!("no response from {}", self.address))?;
        let value: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        if !response.status().is_success() {
            let error = &value["error"];
            let message = error["message"].as_str().unwrap_or("no reason given");
            let ran = error["ran"].as_str().unwrap_or("unknown");
            bail!("{} ({ran}): {message}", response.status());
        }
        Ok(value)
    }
}
