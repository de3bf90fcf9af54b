//! Opens the network between entry processes.

use super::handler::PeerMessageHandler;
use crate::jitter::sleep_with_jitter;
use skylarkpick_interface::{NodeSettings, ObjectStore, PeerHandler, PeerNetwork, WriteError};
use skylarkpick_transport::{
    Authority, CertificateTiming, PeerIdentity, QuicPeers, TransportLimits,
};
use std::{
    sync::{Arc, Weak},
    time::Duration,
};

/// Key of the object that holds the fleet's certificate authority.
const AUTHORITY_KEY: &str = "authority/fleet";
/// Maximum message size; the largest messages hold all records of a topic, or the contents of all
/// caches.
const MESSAGE_SIZE_LIMIT_BYTES: usize = 8 * 1_048_576;
/// Mean delay before the platform is called again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Dependencies of [`open_network`].
pub(crate) struct NetworkParts {
    pub(crate) settings: NodeSettings,
    pub(crate) objects: Arc<dyn ObjectStore>,
    pub(crate) handler: Arc<PeerMessageHandler>,
}

/// Stored form of the fleet's certificate authority.
#[derive(serde::Deserialize, serde::Serialize)]
struct AuthorityRecord {
    certificate: String,
    key: String,
}

/// Opens the network once the certificate authority exists. The first process that creates its
/// object determines the authority; all others read it. Returns `None` if the peer address can't be
/// bound.
pub(crate) async fn open_network(parts: NetworkParts) -> Option<Arc<dyn PeerNetwork>> {
    let authority = loop {
        match load_authority(&*parts.objects).await {
            Ok(authority) => break authority,
            Err(why) => {
                spdlog::info!("certificate authority not available yet", kv: {
                    why = why.as_str(),
                });
                sleep_with_jitter(RETRY_PAUSE).await;
            }
        }
    };
    let identity = PeerIdentity {
        entry_id: parts.settings.node.clone(),
        data_centre: parts.settings.data_centre.clone(),
    };
    let bound = QuicPeers::bind(
        &parts.settings.peer_address.to_string(),
        authority,
        identity,
        CertificateTiming::default(),
        TransportLimits::open(MESSAGE_SIZE_LIMIT_BYTES),
    );
    match bound {
        Ok(peers) => {
            let handler: Weak<PeerMessageHandler> = Arc::downgrade(&parts.handler);
            peers.listen(handler as Weak<dyn PeerHandler>);
            spdlog::info!("peer network opened", kv: {
                address = peers.address().as_str(),
            });
            Some(peers)
        }
        Err(error) => {
            spdlog::warn!("failed to open the peer network", kv: { error: });
            None
        }
    }
}

async fn load_authority(objects: &dyn ObjectStore) -> Result<Authority, String> {
    let found = objects.get(AUTHORITY_KEY).await.map_err(|error| error.to_string())?;
    let value = match found {
        Some(object) => object.value,
        None => create_authority(objects).await?,
    };
    // The error would quote the key.
    let record: AuthorityRecord = serde_json::from_slice(&value)
        .map_err(|_| format!("the object {AUTHORITY_KEY} is unreadable"))?;
    Authority::open(record.certificate.as_bytes(), record.key.as_bytes())
        .map_err(|error| error.to_string())
}

async fn create_authority(objects: &dyn ObjectStore) -> Result<Vec<u8>, String> {
    let (certificate, key) = Authority::generate_pem().map_err(|error| error.to_string())?;
    let record = AuthorityRecord { certificate, key };
    let value = serde_json::to_vec(&record).map_err(|error| error.to_string())?;
    match objects.put(AUTHORITY_KEY, None, value.clone()).await {
        Ok(_) => Ok(value),
        // Another process was first, or the response was lost: the object holds the valid
        // authority.
        Err(WriteError::Conflict { .. } | WriteError::Unknown(_)) => {
            let found = objects.get(AUTHORITY_KEY).await.map_err(|error| error.to_string())?;
            found.map(|object| object.value).ok_or_else(|| "not written yet".to_string())
        }
        Err(error) => Err(error.to_string()),
    }
}
