//! Polls the platform's list of VMs, in one process of each data centre.

use super::{
    membership_actor::{MembershipActor, Observation},
    view::PeersView,
};
use kameo::prelude::ActorRef;
use skylarkpick_interface::{ObjectStore, VmState};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Interval between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Response timeout of the platform.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the list while this process holds the list role of its data centre. If the list cannot be
/// read, its last content stays in use, and targets still report their own leaving.
pub(super) async fn poll_vm_list(
    platform: Arc<dyn ObjectStore>,
    membership: ActorRef<MembershipActor>,
    view: watch::Receiver<Arc<PeersView>>,
) {
    loop {
        let reads = view.borrow().reads_list;
        if reads && let Ok(Ok(vms)) = tokio::time::timeout(LIST_TIMEOUT, platform.list_vms()).await
        {
            let listed = vms.into_iter().map(|vm| (vm.name, vm.state == VmState::Leaving));
            // Fails only while the process is exiting.
            let _ = membership.tell(Observation::Listed(listed.collect())).await;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}
