//! Reads the platform's list of VMs, as one process of the data centre.

use super::{
    membership_actor::{MembershipActor, Seen},
    view::PeersView,
};
use kameo::prelude::ActorRef;
use skylarkpick_interface::{ObjectStore, VmState};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the platform to answer.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the list as long as this process is the one to do so. While the list cannot be read, what
/// it said last stays, and what targets say of themselves goes on.
pub(super) async fn follow_list(
    platform: Arc<dyn ObjectStore>,
    membership: ActorRef<MembershipActor>,
    view: watch::Receiver<Arc<PeersView>>,
) {
    loop {
        let reads = view.borrow().reads_list;
        if reads && let Ok(Ok(vms)) = tokio::time::timeout(LIST_TIMEOUT, platform.list_vms()).await
        {
            let listed = vms.into_iter().map(|vm| (vm.name, vm.state == VmState::Leaving));
            // Fails only while the process shuts down.
            let _ = membership.tell(Seen::Listed(listed.collect())).await;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}
