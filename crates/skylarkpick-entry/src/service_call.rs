//! Sends a call to an instance of a plain service, and retries it on others while that is safe.

use crate::{
    claimed_call,
    completion::InFlightGuard,
    entry::Shared,
    failure::{Failure, FailureCode},
    request::{CallRequest, CallResponse},
};
use skylarkpick_config::{Configuration, ServiceRules};
use skylarkpick_interface::{ServiceCall, ServiceError, ServiceReply};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::Instant;

/// Time limit of a call where the service's rules have none.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(30);
/// `retry_after` when no instance could be reached.
const NO_INSTANCE_RETRY: Duration = Duration::from_secs(2);

/// Makes a call. A call that must not run twice is claimed first if it has an idempotency key.
pub(crate) async fn call(
    shared: &Arc<Shared>,
    request: CallRequest,
) -> Result<CallResponse, Failure> {
    let active = shared.active_configuration.borrow().clone();
    let configuration = &active.configuration;
    let rules = configuration.services.get(&request.service).ok_or_else(|| {
        Failure::not_run(FailureCode::NotFound, format!("no service {:?}", request.service))
    })?;
    let _in_flight = InFlightGuard::start(shared.clone());
    let repeatable = is_repeatable(rules, &request);
    let time_limit = rules.deadline_ms.map_or(DEFAULT_TIME_LIMIT, Duration::from_millis);
    let time_allowed = request.deadline.map_or(time_limit, |deadline| deadline.min(time_limit));
    match request.idempotency_key.clone().filter(|_| !repeatable) {
        Some(key) => claimed_call::call(shared, request, key, time_allowed).await,
        None => {
            let deadline = Instant::now() + time_allowed;
            call_before_deadline(shared, &request, repeatable, deadline).await
        }
    }
}

/// Tries the instances of the service one after another until the deadline. A call that may have
/// run is only tried again if it is `repeatable`.
pub(crate) async fn call_before_deadline(
    shared: &Shared,
    request: &CallRequest,
    repeatable: bool,
    deadline: Instant,
) -> Result<CallResponse, Failure> {
    let active = shared.active_configuration.borrow().clone();
    let addresses = instance_addresses(shared, &active.configuration, &request.service);
    let attempts = try_instances(shared, request, &addresses, repeatable);
    let result = tokio::time::timeout_at(deadline, attempts).await.unwrap_or_else(|_| {
        Err(Failure::unknown(FailureCode::DeadlineExceeded, "the deadline passed"))
    });
    result.map(|ServiceReply { status, content_type, body }| CallResponse {
        status,
        content_type,
        body,
        replayed: false,
    })
}

async fn try_instances(
    shared: &Shared,
    request: &CallRequest,
    addresses: &[String],
    repeatable: bool,
) -> Result<ServiceReply, Failure> {
    let mut may_have_run = false;
    let mut last_error = "no instance is configured".to_string();
    for address in addresses {
        let service = shared.parts.connector.service(address);
        match service.call(service_call(request)).await {
            Ok(reply) => return Ok(reply),
            Err(ServiceError::Unknown(reason)) => {
                may_have_run = true;
                last_error = reason;
                if !repeatable {
                    break;
                }
            }
            Err(error) => last_error = error.to_string(),
        }
    }
    Err(if may_have_run {
        Failure::unknown(FailureCode::TargetFailed, last_error)
    } else {
        Failure::not_run(FailureCode::NoTarget, last_error).retry_after(NO_INSTANCE_RETRY)
    })
}

fn service_call(request: &CallRequest) -> ServiceCall {
    ServiceCall {
        request_id: request.request_id.clone(),
        account: request.account.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
    }
}

/// Returns whether a call may be sent again although it may have run.
fn is_repeatable(rules: &ServiceRules, request: &CallRequest) -> bool {
    let (path, _) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let path = if path == "/" { path } else { path.trim_end_matches('/') };
    !rules.not_repeatable.iter().any(|rule| {
        let Some((method, pattern)) = rule.split_once(' ') else { return false };
        let path_matches = match pattern.strip_suffix('*') {
            Some(prefix) => format!("{path}/").starts_with(prefix),
            None => path == pattern,
        };
        method == request.method && path_matches
    })
}

/// Returns the addresses of a service's instances that are not leaving: first those of the own data
/// centre in round-robin order, then those of the others.
fn instance_addresses(
    shared: &Shared,
    configuration: &Configuration,
    service: &str,
) -> Vec<String> {
    let own_data_centre = &shared.parts.settings.data_centre;
    let peers = shared.peers.view().borrow().clone();
    let in_data_centre = |data_centre: &String| {
        let targets = configuration.data_centres.get(data_centre);
        let instances = targets.into_iter().flat_map(|targets| &targets.services);
        let available = instances
            .filter(|(name, instance)| instance.service == service && !peers.is_leaving(name));
        available.map(|(_, found)| found.address.clone()).collect::<Vec<String>>()
    };
    let mut own = in_data_centre(own_data_centre);
    if !own.is_empty() {
        let turn = shared.next_service_instance.fetch_add(1, Ordering::Relaxed) as usize;
        let first = turn % own.len();
        own.rotate_left(first);
    }
    let others =
        configuration.data_centres.keys().filter(|data_centre| *data_centre != own_data_centre);
    own.extend(others.flat_map(in_data_centre));
    own
}
