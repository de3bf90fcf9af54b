//! Opens the network between entry processes.

use super::handler::Handler;
use crate::jitter::sleep_with_jitter;
use skylarkpick_interface::{NodeSettings, ObjectStore, PeerHandler, PeerNetwork, WriteError};
use skylarkpick_transport::{
    Authority, CertificateRules, PeerIdentity, QuicPeers, TransportLimits,
};
use std::{
    sync::{Arc, Weak},
    time::Duration,
};

/// Key of the object that settles the fleet's certificate authority.
const AUTHORITY_KEY: &str = "authority/fleet";
/// Largest message: all records of a topic, or all that the stores keep.
const MESSAGE_SIZE_LIMIT_BYTES: usize = 8 * 1_048_576;
/// Pause before the platform is asked again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What the network is opened with.
pub(crate) struct PeerParts {
    pub(crate) settings: NodeSettings,
    pub(crate) objects: Arc<dyn ObjectStore>,
    pub(crate) handler: Arc<Handler>,
}

/// Authority of the fleet as it stands in its object.
#[derive(serde::Deserialize, serde::Serialize)]
struct AuthorityRecord {
    certificate: String,
    key: String,
}

/// Opens the network once the authority is settled: the first process to create the object
/// settles it, all others read it.
pub(crate) async fn open_peers(parts: PeerParts) -> Option<Arc<dyn PeerNetwork>> {
    let authority = loop {
        match settle_authority(&*parts.objects).await {
            Ok(authority) => break authority,
            Err(why) => {
                spdlog::info!("no authority yet", kv: { why = why.as_str() });
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
        CertificateRules::default(),
        TransportLimits::open(MESSAGE_SIZE_LIMIT_BYTES),
    );
    match bound {
        Ok(peers) => {
            let handler: Weak<Handler> = Arc::downgrade(&parts.handler);
            peers.listen(handler as Weak<dyn PeerHandler>);
            spdlog::info!("network to other entry processes is open", kv: {
                address = peers.address().as_str(),
            });
            Some(peers)
        }
        Err(error) => {
            spdlog::warn!("no network to other entry processes", kv: { error: });
            None
        }
    }
}

async fn settle_authority(objects: &dyn ObjectStore) -> Result<Authority, String> {
    let found = objects.get(AUTHORITY_KEY).await.map_err(|error| error.to_string())?;
    let value = match found {
        Some(object) => object.value,
        None => create_authority(objects).await?,
    };
    let record: AuthorityRecord =
        serde_json::from_slice(&value).map_err(|error| error.to_string())?;
    Authority::open(record.certificate.as_bytes(), record.key.as_bytes())
        .map_err(|error| error.to_string())
}

async fn create_authority(objects: &dyn ObjectStore) -> Result<Vec<u8>, String> {
    let (certificate, key) = Authority::generate_pem().map_err(|error| error.to_string())?;
    let record = AuthorityRecord { certificate, key };
    let value = serde_json::to_vec(&record).map_err(|error| error.to_string())?;
    match objects.put(AUTHORITY_KEY, None, value.clone()).await {
        Ok(_) => Ok(value),
        // Another process was first, or the answer was lost: the object says which one holds.
        Err(WriteError::Conflict { .. } | WriteError::Unknown(_)) => {
            let found = objects.get(AUTHORITY_KEY).await.map_err(|error| error.to_string())?;
            found.map(|object| object.value).ok_or_else(|| "not written yet".to_string())
        }
        Err(error) => Err(error.to_string()),
    }
}
