//! Tests of the removal of registrations of entry processes.

use super::{
    entry_health::EntryHealthCheck,
    tests::{SECOND, records},
    topic_watch::FleetWatcher,
};
use crate::{
    peers::{PeerClient, PeerRecords, PeerResponse},
    test_support::{SlowNetwork, TestRecords, TestSource, entry_records},
};
use async_trait::async_trait;
use skylarkpick_interface::{FleetTopic, FleetUpdate, PlatformError, StoreRevision};
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Platform that records which registrations are removed.
#[derive(Default)]
struct Registrations {
    removed: Mutex<BTreeSet<String>>,
}

#[async_trait]
impl TestRecords for Registrations {
    async fn unregister(&self, name: &str) -> Result<(), PlatformError> {
        self.removed.lock().unwrap().insert(name.to_string());
        Ok(())
    }
}

fn empty_update(era: u64, number: u64) -> FleetUpdate {
    FleetUpdate { records: vec![], revision: StoreRevision { era, number } }
}

#[tokio::test(start_paused = true)]
async fn a_process_that_responds_keeps_its_registration_whatever_records_it_has() {
    struct Case {
        name: &'static str,
        /// What the other processes respond, if they do.
        response: Option<PeerResponse>,
        is_removed: bool,
    }
    let of_era = |era| {
        Some(PeerResponse::Records(PeerRecords {
            update: empty_update(era, 50),
            is_complete: false,
            age_ms: 0,
            complete_age_ms: Some(0),
        }))
    };
    let cases = [
        Case { name: "records of the same era", response: of_era(1), is_removed: false },
        Case { name: "records of a later era", response: of_era(2), is_removed: false },
        Case { name: "records that name no era", response: of_era(0), is_removed: false },
        Case { name: "no records", response: Some(PeerResponse::Nothing), is_removed: false },
        Case { name: "no response", response: None, is_removed: true },
    ];
    let mut wrong = Vec::new();
    for Case { name, response, is_removed } in cases {
        let (_, records) = records();
        records.replace(FleetTopic::Entries, &entry_records(3));
        records.replace(FleetTopic::Serving, &empty_update(1, 9));
        let peer_client = PeerClient::default();
        peer_client.set_network(Arc::new(SlowNetwork { delay: Duration::ZERO, response }));
        let source = Arc::new(Registrations::default());
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(source.clone())),
            records,
            peer_client: Arc::new(peer_client),
        });
        let mut checks = EntryHealthCheck::open(watcher);
        let _ = tokio::time::timeout(20 * SECOND, checks.run()).await;
        let removed = source.removed.lock().unwrap().clone();
        let expected = if is_removed { vec!["entry-0", "entry-2"] } else { vec![] };
        if !removed.iter().eq(expected) {
            wrong.push((name, removed));
        }
    }
    assert!(wrong.is_empty(), "removed: {wrong:?}");
}
