//! Tells the process that keeps a run for its caller that it is read elsewhere now.

use prost::Message;
use skylarkpick_interface::PeerNetwork;
use skylarkpick_protocol::{
    peer::{PeerMessage, RunTakenUp, peer_message::Body},
    resume::ResumeClaims,
};
use std::{sync::Arc, time::Duration};

/// Time for the other process to answer.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);
/// Times that it is told, until it has answered.
const TELL_ATTEMPTS_LIMIT: u32 = 10;

/// Tells the process that a stream began at that it need not cancel the run. That process is told
/// until it answers; while it cannot be reached, it cancels the run at the end of its window.
pub(super) async fn tell_taken_up(network: Arc<dyn PeerNetwork>, claims: ResumeClaims) {
    let address = &claims.entry_address;
    if address.is_empty() || *address == network.address() {
        return;
    }
    let taken_up = RunTakenUp { run_id: claims.run_id.clone() };
    let message = PeerMessage { body: Some(Body::RunTakenUp(taken_up)) }.encode_to_vec();
    for _ in 0..TELL_ATTEMPTS_LIMIT {
        if let Ok(answer) = network.request(address, message.clone(), TELL_TIMEOUT).await
            && !answer.is_empty()
        {
            return;
        }
        tokio::time::sleep(TELL_TIMEOUT).await;
    }
}
