//! Notifies the process that retains a run that another process resumed it.

use prost::Message;
use skylarkpick_interface::PeerNetwork;
use skylarkpick_protocol::{
    peer::{PeerMessage, RunTakenUp, peer_message::Body},
    resume::ResumeClaims,
};
use std::{sync::Arc, time::Duration};

/// Response timeout of one notice, and the delay before the next.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Notices sent before the process is taken as unreachable.
const NOTICE_ATTEMPTS_LIMIT: u32 = 10;

/// Notifies the process that a stream began at, so that it does not cancel the run. The notice is
/// repeated until that process responds; one that stays unreachable cancels the run at the end of
/// its resume window.
pub(super) async fn send_takeover_notice(network: Arc<dyn PeerNetwork>, claims: ResumeClaims) {
    let address = &claims.entry_address;
    if address.is_empty() || *address == network.address() {
        return;
    }
    let taken_up = RunTakenUp { run_id: claims.run_id.clone() };
    let message = PeerMessage { body: Some(Body::RunTakenUp(taken_up)) }.encode_to_vec();
    for _ in 0..NOTICE_ATTEMPTS_LIMIT {
        if let Ok(response) = network.request(address, message.clone(), NOTICE_TIMEOUT).await
            && !response.is_empty()
        {
            return;
        }
        tokio::time::sleep(NOTICE_TIMEOUT).await;
    }
}
