//! Links from one process to the targets, which can be cut without those of the others.

use crate::{plan::LinkFault, proxy::FaultProxy};
use async_trait::async_trait;
use skylarkpick_platform_standin::TargetAddresses;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use tokio::sync::Mutex;

/// Links from one process to the targets.
#[derive(Default)]
pub(crate) struct TargetLinks {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    fault: Option<LinkFault>,
    links: BTreeMap<SocketAddr, FaultProxy>,
}

impl TargetLinks {
    pub(crate) fn open() -> Arc<TargetLinks> {
        Arc::default()
    }

    /// Starts a fault of the links to all targets, or ends it with `None`.
    pub(crate) async fn set_fault(&self, fault: Option<LinkFault>) {
        let mut state = self.state.lock().await;
        state.fault = fault;
        state.links.values().for_each(|link| link.set_fault(fault));
    }
}

#[async_trait]
impl TargetAddresses for TargetLinks {
    async fn of(&self, target: SocketAddr) -> SocketAddr {
        let mut state = self.state.lock().await;
        if let Some(link) = state.links.get(&target) {
            return link.address;
        }
        // Without a free port the process reaches the target without a link.
        let Ok(link) = FaultProxy::bind(target).await else { return target };
        link.set_fault(state.fault);
        let address = link.address;
        state.links.insert(target, link);
        address
    }
}
