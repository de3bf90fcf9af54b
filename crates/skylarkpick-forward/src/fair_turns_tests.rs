//! Tests of the order in which requests of several client accounts get capacity.

use crate::{node_state::NodeState, test_support::empty_node_state};
use skylarkpick_interface::{BrittleSignal, RegisteredTarget, ServingAccount};
use skylarkpick_schedule::{PlacementDecision, PlacementRequest, TargetOutcome};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{task::JoinHandle, time::Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Time for which a request holds the only place.
const RUN_TIME: Duration = Duration::from_millis(10);

fn request() -> PlacementRequest {
    PlacementRequest {
        service: "book-api".to_string(),
        data_centre: "mnl-a".to_string(),
        prompt: None,
        rank: 1,
        is_continuation: false,
        software_version: None,
        avoid: Vec::new(),
        max_wait: SECOND,
    }
}

/// Returns the state of the only process, before one target that takes one request at a time: requests
/// wait for their place there.
async fn node_state() -> Arc<NodeState> {
    let node_state = empty_node_state();
    node_state.set_entries("entry-1", vec!["entry-1".to_string()]);
    node_state.lock().placement.set_target(RegisteredTarget {
        id: "i-1".to_string(),
        service: "book-api".to_string(),
        address: SocketAddr::from(([10, 1, 0, 1], 80)),
        data_centre: "mnl-a".to_string(),
        slots: 1,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms: 1,
        software_version: None,
        cold_remaining: None,
    });
    tokio::time::advance(SECOND * 10).await;
    let decision = node_state.choose(&request(), false);
    let PlacementDecision::Assigned(assignment) = decision else { panic!("{decision:?}") };
    node_state.note_brittle(&assignment, BrittleSignal::default());
    node_state
}

/// Sends a request of an account as soon as it has a place, and adds the account to `served`.
fn send(
    node_state: &Arc<NodeState>,
    account: &str,
    uses_accounts: bool,
    served: &Arc<Mutex<Vec<String>>>,
) -> JoinHandle<()> {
    let account = ServingAccount {
        account: account.to_string(),
        keys: Vec::new(),
        rank: None,
        is_isolated: false,
    };
    let (node_state, served) = (node_state.clone(), served.clone());
    tokio::spawn(async move {
        let (request, until) = (request(), Instant::now() + SECOND);
        let turns = &node_state.fair_turns;
        let mut turn = turns.open_turn(uses_accounts, Some(&account), &request, until);
        let mut has_waited = false;
        loop {
            match node_state.choose_in_turn(&request, has_waited, &mut turn) {
                PlacementDecision::Assigned(assignment) => {
                    served.lock().unwrap().push(account.account.clone());
                    let mut guard = node_state.begin(*assignment, None);
                    tokio::time::sleep(RUN_TIME).await;
                    guard.outcome = TargetOutcome::Served;
                    return;
                }
                PlacementDecision::Unplaced(_) => {
                    has_waited = true;
                    assert!(Instant::now() < until, "{} is served", account.account);
                    node_state.wait_in_turn(&request, until, &mut turn).await;
                }
            }
        }
    })
}

// Guards against a burst that gets all capacity since its requests came first, against a deployment
// without accounts or pressing clients whose order changes, and against a turn that is lost with a request
// whose client has left.
#[tokio::test(start_paused = true)]
async fn accounts_take_turns_where_clients_are_pressing() {
    struct Case {
        name: &'static str,
        has_pressing_clients: bool,
        uses_accounts: bool,
        /// Requests, by arrival, whose clients leave before they are served.
        leaving: &'static [usize],
        /// Accounts in the order of service.
        served: &'static str,
    }
    let fair = Case {
        name: "fair",
        has_pressing_clients: true,
        uses_accounts: true,
        leaving: &[],
        served: "aaaaabcaa",
    };
    let cases = [
        Case {
            name: "no pressing clients",
            has_pressing_clients: false,
            served: "aaaaaaabc",
            ..fair
        },
        Case { name: "no accounts", uses_accounts: false, served: "aaaaaaabc", ..fair },
        Case { name: "the next one leaves", leaving: &[7], served: "aaaaacaa", ..fair },
        Case { name: "many leave", leaving: &[1, 2, 3, 4, 5, 7], served: "aac", ..fair },
        fair,
    ];
    for case in cases {
        let node_state = node_state().await;
        node_state.fair_turns.set_pressing(case.has_pressing_clients);
        let served: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut sent = Vec::new();
        for account in ["a", "a", "a", "a", "a", "a", "a", "b", "c"] {
            sent.push(send(&node_state, account, case.uses_accounts, &served));
            tokio::task::yield_now().await;
        }
        for index in case.leaving {
            sent[*index].abort();
        }
        for (index, request) in sent.into_iter().enumerate() {
            let is_served = request.await.is_ok();
            assert_eq!(is_served, !case.leaving.contains(&index), "{}: {index}", case.name);
        }
        assert_eq!(served.lock().unwrap().concat(), case.served, "{}", case.name);
        assert_eq!(node_state.capacity().0, 0, "{}: nobody waits", case.name);
    }
}
