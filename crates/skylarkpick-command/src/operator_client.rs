//! Talks to the operators' interface of an entry process.

use crate::command::WrongUse;
use anyhow::{Context, bail};
use bytes::Bytes;
use getopts::{Matches, Options};
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use skylarkpick_http::HttpClient;
use std::{net::SocketAddr, time::Duration};

/// Variable that holds the operator's token, unless an option names another.
const TOKEN_VARIABLE: &str = "SKYLARKPICK_TOKEN";
/// Time for the entry process to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Talks to the operators' interface of an entry process.
pub(crate) struct OperatorClient {
    address: SocketAddr,
    token: String,
    client: HttpClient,
}

/// Adds the option that names where the token is.
pub(crate) fn add_token_option(options: &mut Options) {
    let help = format!("environment variable with the operator's token (default {TOKEN_VARIABLE})");
    options.optopt("", "token-environment", &help, "NAME");
}

impl OperatorClient {
    /// Opens a client for the entry process at `address`, with the token that the options name.
    pub(crate) fn open(address: &str, matches: &Matches) -> anyhow::Result<OperatorClient> {
        let address = address
            .parse()
            .map_err(|_| WrongUse(format!("{address:?} is no address; expected IP:port")))?;
        let name = matches.opt_str("token-environment");
        let name = name.as_deref().unwrap_or(TOKEN_VARIABLE);
        let token = std::env::var(name).map_err(|_| {
            WrongUse(format!("the environment variable {name} holds no operator's token"))
        })?;
        Ok(OperatorClient { address, token, client: HttpClient::open() })
    }

    /// Reads a path.
    pub(crate) async fn get(&self, path: &str) -> anyhow::Result<Value> {
        self.exchange("GET", path, Bytes::new()).await
    }

    /// Sends a patch.
    pub(crate) async fn patch(&self, path: &str, body: &Value) -> anyhow::Result<Value> {
        self.exchange("PATCH", path, Bytes::from(body.to_string())).await
    }

    async fn exchange(&self, method: &str, path: &str, body: Bytes) -> anyhow::Result<Value> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|_| WrongUse("the token holds characters that no token has".to_string()))?;
        let answer = self
            .client
            .send_buffered(request, ANSWER_TIMEOUT)
            .await
            .with_context(|| format!("no answer from {}", self.address))?;
        let value: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
        if !answer.status().is_success() {
            let error = &value["error"];
            let message = error["message"].as_str().unwrap_or("no reason given");
            let ran = error["ran"].as_str().unwrap_or("unknown");
            bail!("{} ({ran}): {message}", answer.status());
        }
        Ok(value)
    }
}
