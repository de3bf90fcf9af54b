//! Routes a call to an instance of a plain service.

use crate::{
    claimed_call,
    completion::UnderWay,
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

/// Time for a call where the service's rules name none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// When to come back after no instance could be reached.
const NO_INSTANCE_RETRY: Duration = Duration::from_secs(2);

/// Makes a call, on other instances too as long as it cannot have run.
pub(crate) async fn call(
    shared: &Arc<Shared>,
    request: CallRequest,
) -> Result<CallResponse, Failure> {
    let in_force = shared.active_configuration.borrow().clone();
    let configuration = &in_force.configuration;
    let rules = configuration.services.get(&request.service).ok_or_else(|| {
        Failure::not_run(FailureCode::NotFound, format!("no service {:?}", request.service))
    })?;
    let _under_way = UnderWay::begin(shared.clone());
    let repeatable = is_repeatable(rules, &request);
    let longest = rules.deadline_ms.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let time_allowed = request.deadline.map_or(longest, |deadline| deadline.min(longest));
    match request.idempotency_key.clone().filter(|_| !repeatable) {
        Some(key) => claimed_call::call(shared, request, key, time_allowed).await,
        None => {
            let deadline = Instant::now() + time_allowed;
            try_in_time(shared, &request, repeatable, deadline).await
        }
    }
}

/// Tries the instances of the service until the deadline.
pub(crate) async fn try_in_time(
    shared: &Shared,
    request: &CallRequest,
    repeatable: bool,
    deadline: Instant,
) -> Result<CallResponse, Failure> {
    let in_force = shared.active_configuration.borrow().clone();
    let addresses = instances(shared, &in_force.configuration, &request.service);
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
    let mut last = "no instance is configured".to_string();
    for address in addresses {
        let service = shared.parts.connector.service(address);
        match service.call(service_call(request)).await {
            Ok(reply) => return Ok(reply),
            Err(ServiceError::Unknown(why)) => {
                may_have_run = true;
                last = why;
                if !repeatable {
                    break;
                }
            }
            Err(error) => last = error.to_string(),
        }
    }
    Err(if may_have_run {
        Failure::unknown(FailureCode::TargetFailed, last)
    } else {
        Failure::not_run(FailureCode::NoTarget, last).retry_after(NO_INSTANCE_RETRY)
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

/// Whether a call may be sent again when it may have run.
fn is_repeatable(rules: &ServiceRules, request: &CallRequest) -> bool {
    let (called, _) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let called = if called == "/" { called } else { called.trim_end_matches('/') };
    !rules.not_repeatable.iter().any(|rule| {
        let Some((method, path)) = rule.split_once(' ') else { return false };
        let path_matches = match path.strip_suffix('*') {
            Some(start) => format!("{called}/").starts_with(start),
            None => called == path,
        };
        method == request.method && path_matches
    })
}

/// Addresses of a service's instances that do not leave, the own data centre's first, each call
/// from the next one.
fn instances(shared: &Shared, configuration: &Configuration, service: &str) -> Vec<String> {
    let own_centre = &shared.parts.settings.data_centre;
    let peers = shared.peers.view().borrow().clone();
    let in_centre = |centre: &String| {
        let targets = configuration.data_centres.get(centre);
        let instances = targets.into_iter().flat_map(|targets| &targets.services);
        let usable = instances
            .filter(|(name, instance)| instance.service == service && !peers.is_leaving(name));
        usable.map(|(_, found)| found.address.clone()).collect::<Vec<String>>()
    };
    let mut own = in_centre(own_centre);
    if !own.is_empty() {
        let turn = shared.next_service_instance.fetch_add(1, Ordering::Relaxed) as usize;
        let first = turn % own.len();
        own.rotate_left(first);
    }
    let others = configuration.data_centres.keys().filter(|centre| *centre != own_centre);
    own.extend(others.flat_map(in_centre));
    own
}
