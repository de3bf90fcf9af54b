//! A target behind a proxy that injects faults of its links.

use crate::{history::SoftwareVersion, plan::LinkFault, proxy::FaultProxy};
use serde_json::Value;
use skylarkpick_platform_standin::{ArrivalLog, EchoTarget, TargetState, registration};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Requests that a target runs concurrently.
const TARGET_SLOTS: usize = 6;
/// A target with the proxy in front of it.
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) proxy: Arc<FaultProxy>,
    pub(crate) service: EchoTarget,
    /// Software version of the service.
    pub(crate) version: SoftwareVersion,
    /// Software version in the registration, if it names one.
    pub(crate) registered_version: Option<SoftwareVersion>,
    /// Whether the end of the service has been seen.
    pub(crate) is_end_seen: bool,
}

impl Target {
    /// Returns the target's registration in a state.
    pub(crate) fn registration(&self, state: TargetState) -> Value {
        registration(self.proxy.address, state, self.service.started_at_ms, self.registered_version)
    }
}

pub(crate) async fn start_service(
    name: &str,
    version: SoftwareVersion,
    arrivals: &ArrivalLog,
) -> std::io::Result<EchoTarget> {
    EchoTarget::start(name, version, TARGET_SLOTS, arrivals.clone()).await
}

/// Starts a target behind a proxy, without registering it.
pub(crate) async fn start_target(
    number: u64,
    version: SoftwareVersion,
    registered_version: Option<SoftwareVersion>,
    arrivals: &ArrivalLog,
) -> std::io::Result<Target> {
    let name = format!("i-{number}");
    let service = start_service(&name, version, arrivals).await?;
    let proxy = Arc::new(FaultProxy::bind(service.address).await?);
    Ok(Target { name, proxy, service, version, registered_version, is_end_seen: false })
}

pub(crate) async fn inject_link_fault(link: &FaultProxy, fault: LinkFault, span: Duration) {
    link.set_fault(Some(fault));
    sleep(span).await;
    // This also ends other faults of the link that began meanwhile.
    link.set_fault(None);
}
