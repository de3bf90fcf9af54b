//! Tests of requests for records, of processes that know eras and that don't.

use super::{handler::PeerMessageHandler, messages::PeerResponse};
use crate::{
    fleet::FleetRecords,
    peers::PeerClient,
    test_support::{empty_node_state, entry_records, message_handler},
};
use skylarkpick_interface::{FleetTopic, FleetUpdate, PeerHandler, StoreRevision};
use std::sync::Arc;

/// Returns a process that has read the entry processes at a revision.
fn handler(revision: StoreRevision) -> PeerMessageHandler {
    let node_state = empty_node_state();
    let records = FleetRecords::open(node_state.clone(), "entry-1");
    records.replace(FleetTopic::Entries, &FleetUpdate { revision, ..entry_records(2) });
    message_handler(node_state, records, Arc::new(PeerClient::default()), "mnl-a")
}

#[tokio::test(start_paused = true)]
async fn requests_of_processes_without_eras_are_compared_by_number() {
    struct Case {
        name: &'static str,
        /// What the request says of the revision that its sender has.
        since: &'static str,
        /// Whether the response has all records, and their number.
        expected: (bool, usize),
    }
    let cases = [
        Case { name: "an earlier era", since: r#""since":57,"era":1"#, expected: (true, 2) },
        Case { name: "the same revision", since: r#""since":40,"era":2"#, expected: (false, 0) },
        Case { name: "a later era", since: r#""since":3,"era":3"#, expected: (false, 0) },
        Case { name: "no era, up to date", since: r#""since":40"#, expected: (false, 0) },
        Case { name: "no era, behind", since: r#""since":39"#, expected: (true, 2) },
        Case { name: "no era, nothing read", since: r#""since":0"#, expected: (true, 2) },
    ];
    for Case { name, since, expected } in cases {
        let handler = handler(StoreRevision { era: 2, number: 40 });
        let message = format!(r#"{{"records":{{"topic":"entries",{since},"wait_ms":0}}}}"#);
        let response = handler.handle_request(message.into_bytes()).await;
        let Ok(PeerResponse::Records(records)) = serde_json::from_slice(&response) else {
            panic!("{name}: {response:?}")
        };
        assert_eq!((records.is_complete, records.update.records.len()), expected, "{name}");
        let message: serde_json::Value = serde_json::from_slice(&response).unwrap();
        assert_eq!(message["records"]["news"]["revision"], 40, "{name}: the field is the same");
    }
}
