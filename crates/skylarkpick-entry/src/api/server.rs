//! Accepts HTTP requests, authenticates them and dispatches them to the handlers of their routes.

use super::{
    completions,
    gauges::send_gauges,
    operators,
    request_log::RequestLog,
    response::ApiResponse,
    routes::{self, Access, allowed_methods},
    services,
};
use crate::{
    entry::Entry,
    failure::{Failure, FailureCode},
};
use async_trait::async_trait;
use http::{
    HeaderValue, Method, Request, StatusCode,
    header::{ALLOW, AUTHORIZATION},
    request::Parts,
};
use hyper::body::Incoming;
use skylarkpick_config::AccountRole;
use skylarkpick_http::{Handler, ReadBodyError, Server, ServerLimits, empty_response, read_body};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::task::JoinSet;

/// Interval between two checks for in-flight requests during a shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Running HTTP server of an entry process. Dropping it stops the server.
pub struct ApiServer {
    entry: Entry,
    server: Server,
    _tasks: JoinSet<()>,
}

impl ApiServer {
    /// Starts the server on the HTTP address in the entry's settings.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(entry: Entry) -> std::io::Result<ApiServer> {
        let settings = &entry.shared.parts.settings;
        let limits = ServerLimits {
            headers_size_bytes: settings.limits.headers_size_bytes,
            headers_read_timeout: Duration::from_millis(settings.limits.request_read_timeout_ms),
        };
        let handler = Arc::new(RequestHandler { entry: entry.clone() });
        let server = Server::bind(&settings.http_address, handler, limits).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(send_gauges(entry.clone()));
        Ok(ApiServer { entry, server, _tasks: tasks })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Fails the readiness check, waits until the load balancer has had time to notice, stops
    /// accepting requests, and waits for those in flight. Returns whether all of them ended in
    /// time.
    pub async fn shutdown(self) -> bool {
        let limits = &self.entry.shared.parts.settings.limits;
        let notice_period = Duration::from_millis(limits.drain_notice_ms);
        let timeout = Duration::from_millis(limits.drain_timeout_ms);
        self.entry.drain();
        tokio::time::sleep(notice_period).await;
        let all_ended = self.server.shutdown(timeout).await;
        let entry = self.entry;
        let idle = async {
            while entry.in_flight_requests() > 0 {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, idle).await.is_ok() && all_ended
    }
}

struct RequestHandler {
    entry: Entry,
}

impl RequestHandler {
    /// Authenticates a request and runs the handler of its route.
    async fn dispatch(
        &self,
        request: Request<Incoming>,
        log: &mut RequestLog,
    ) -> Result<ApiResponse, Failure> {
        let (head, body) = request.into_parts();
        let route = routes::find(&head.method, head.uri.path())?;
        log.path = route.path;
        if route.access == Access::Anyone {
            return Ok(self.health(route.path));
        }
        let (account, role) = self.authenticate(&head)?;
        log.account.clone_from(&account);
        let request_id = &log.request_id;
        if route.access == Access::Operator && role != AccountRole::Operator {
            let message = format!("{} requires the operator role", route.path);
            return Err(Failure::not_run(FailureCode::Forbidden, message));
        }
        let limits = &self.entry.shared.parts.settings.limits;
        let timeout = Duration::from_millis(limits.request_read_timeout_ms);
        let content =
            read_body(body, limits.body_size_bytes, timeout).await.map_err(read_failure)?;
        let path = head.uri.path();
        if path.starts_with(services::PATH_PREFIX) {
            return services::call(&self.entry, &account, request_id, &head, &content).await;
        }
        if head.method == Method::POST && path == "/v1/completions" {
            return completions::complete(&self.entry, &account, request_id, &content).await;
        }
        if path == "/v1/completions/resume" {
            let headers = &head.headers;
            return completions::resume(&self.entry, &account, request_id, headers, &content).await;
        }
        operators::handle(&self.entry, &account, &head.method, path, &content).await
    }

    fn authenticate(&self, head: &Parts) -> Result<(String, AccountRole), Failure> {
        let header = head.headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        let active_configuration = self.entry.active_configuration();
        if active_configuration.version == 0 {
            let failure = Failure::not_run(FailureCode::NotReady, "no configuration yet");
            return Err(failure.retry_after(Duration::from_secs(1)));
        }
        let account = token.and_then(|token| active_configuration.account_of(token));
        account.map(|(name, account)| (name.clone(), account.role)).ok_or_else(|| {
            let message = "send the token of a client account as `Authorization: Bearer TOKEN`";
            Failure::not_run(FailureCode::Unauthorized, message)
        })
    }

    fn health(&self, path: &str) -> ApiResponse {
        let is_healthy = path == "/live" || self.entry.is_ready();
        empty_response(if is_healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

fn read_failure(error: ReadBodyError) -> Failure {
    let code = match error {
        ReadBodyError::TooLarge(_) => FailureCode::TooLarge,
        ReadBodyError::TooSlow(_) => FailureCode::RequestTimeout,
        ReadBodyError::Broken(_) => FailureCode::BadRequest,
    };
    let retry = code == FailureCode::RequestTimeout;
    Failure { retry, ..Failure::not_run(code, error.to_string()) }
}

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(&self, request: Request<Incoming>) -> ApiResponse {
        let path = request.uri().path().to_string();
        let request_id = format!("r{:032x}", rand::random::<u128>());
        let mut log = RequestLog::begin(request_id);
        let result = self.dispatch(request, &mut log).await;
        let response =
            result.unwrap_or_else(|failure| respond_with_failure(&failure, &path, &log.request_id));
        log.end(&response);
        response
    }
}

fn respond_with_failure(failure: &Failure, path: &str, request_id: &str) -> ApiResponse {
    let mut response = completions::respond_with_failure(failure, request_id);
    let allowed = allowed_methods(path).and_then(|methods| HeaderValue::try_from(methods).ok());
    if let (FailureCode::MethodNotAllowed, Some(allowed)) = (failure.code, allowed) {
        response.headers_mut().insert(ALLOW, allowed);
    }
    response
}
