//! Tests of rejections right after the start, by a serving document that may be from an older copy.

use super::{
    retained_fetch::fetch_retained,
    serving_confirmer::ServingConfirmer,
    tests::{SECOND, records},
    topic_watch::FleetWatcher,
    weight_tests::first_update,
};
use crate::{
    peers::{PeerClient, PeerResponse},
    test_support::{SlowNetwork, TestRecords, TestSource, entry_records},
};
use skylarkpick_interface::{FleetRecord, FleetTopic, FleetUpdate, NamedRecord, StoreRevision};
use std::{sync::Arc, time::Duration};

const COPY: StoreRevision = StoreRevision { era: 2, number: 4 };

/// Platform that never responds again.
struct SilentSource;

impl TestRecords for SilentSource {}

fn document(version: u64) -> NamedRecord {
    let mut named = first_update(FleetTopic::Serving).records.remove(0);
    if let Some(FleetRecord::Serving(document)) = &mut named.record {
        document.version = version;
    }
    named
}

/// Returns the state of a process that has read version 3 and, if there is a number of them, the entry
/// processes of the copy. A request to another process takes `SECOND / 4`.
fn start(entries: Option<u8>, response: Option<PeerResponse>) -> Arc<FleetWatcher> {
    let (_, records) = records();
    let update = |records| FleetUpdate { records, revision: COPY };
    if let Some(count) = entries {
        let mut listed = entry_records(3).records;
        // The first one in the list is this process.
        listed.sort_by_key(|named| named.name != "entry-1");
        listed.truncate(count.into());
        records.replace(FleetTopic::Entries, &update(listed));
    }
    records.replace(FleetTopic::Serving, &update(vec![document(3)]));
    let peer_client = PeerClient::default();
    peer_client.set_network(Arc::new(SlowNetwork { delay: SECOND / 4, response }));
    Arc::new(FleetWatcher {
        source: Arc::new(TestSource(Arc::new(SilentSource))),
        records,
        peer_client: Arc::new(peer_client),
    })
}

/// Confirms the document while the watch of the platform is current.
async fn confirm(watcher: &Arc<FleetWatcher>, confirmer: &ServingConfirmer) -> (bool, Option<u64>) {
    watcher.records.note_current(FleetTopic::Serving, Duration::ZERO);
    let is_confirmed = confirmer.confirm().await;
    (is_confirmed, watcher.records.serving_version())
}

#[tokio::test(start_paused = true)]
async fn a_process_that_starts_after_a_return_does_not_reject_by_the_copy_before_it_has_asked() {
    struct Case {
        name: &'static str,
        /// Number of listed entry processes, with this one; `None` if the list has not been read.
        entries: Option<u8>,
        response: Option<PeerResponse>,
        /// Whether a rejection is allowed, and the version in force.
        expected: (bool, Option<u64>),
    }
    let retained = |version| Some(PeerResponse::Retained(vec![document(version)]));
    let cases = [
        Case {
            name: "others have a newer document",
            entries: Some(3),
            response: retained(5),
            expected: (true, Some(5)),
        },
        Case {
            name: "others have the same",
            entries: Some(3),
            response: Some(PeerResponse::Retained(vec![])),
            expected: (true, Some(3)),
        },
        Case {
            name: "others don't know the request",
            entries: Some(3),
            response: Some(PeerResponse::Nothing),
            expected: (true, Some(3)),
        },
        Case {
            name: "others don't respond",
            entries: Some(3),
            response: None,
            expected: (false, Some(3)),
        },
        Case {
            name: "there are no others",
            entries: Some(1),
            response: None,
            expected: (true, Some(3)),
        },
        Case {
            name: "others are not known yet",
            entries: None,
            response: retained(5),
            expected: (false, Some(3)),
        },
    ];
    let mut wrong = Vec::new();
    for Case { name, entries, response, expected } in cases {
        let watcher = start(entries, response);
        let confirmer = ServingConfirmer::open(watcher.clone());
        let found = confirm(&watcher, &confirmer).await;
        if found != expected {
            wrong.push((name, found));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

#[tokio::test(start_paused = true)]
async fn a_process_whose_others_do_not_respond_rejects_again_within_six_seconds() {
    let watcher = start(Some(3), None);
    let confirmer = ServingConfirmer::open(watcher.clone());
    let task = tokio::spawn(fetch_retained(watcher.clone()));
    tokio::time::sleep(5 * SECOND).await;
    assert_eq!(confirm(&watcher, &confirmer).await, (false, Some(3)), "after 5 s");
    tokio::time::sleep(SECOND).await;
    assert_eq!(confirm(&watcher, &confirmer).await, (true, Some(3)), "after 6 s");
    task.abort();
}
