//! Roll-outs over two data centres that share a weight store, on paused time.

use super::load_slots::LoadSlots;
use crate::{Entry, EntryParts};
use serde_json::{Value, json};
use skylarkpick_config::Patch;
use skylarkpick_interface::{NoPeers, ObjectStore, Runner, TokioClock};
use skylarkpick_standin::{
    FakeRunner, MemoryConnector, MemoryPlatform, PlatformFaults, PlatformRates, RunnerSettings,
    WeightStore,
};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, SystemTime},
};

const MODEL: &str = "tala-llm";
const DATA_CENTRES: [&str; 2] = ["mnl-a", "mnl-b"];
const RUNNERS_PER_DATA_CENTRE: usize = 4;

/// Two data centres with four runners and two entry processes each.
struct Cluster {
    platform: Arc<MemoryPlatform>,
    weight_store: Arc<WeightStore>,
    runners: BTreeMap<String, FakeRunner>,
    entries: Vec<Entry>,
    configuration_version: u64,
}

fn open_runner(
    connector: Arc<MemoryConnector>,
    weight_store: Arc<WeightStore>,
    checks_fencing: bool,
) -> FakeRunner {
    let settings =
        RunnerSettings { model: MODEL.to_string(), checks_fencing, ..RunnerSettings::default() };
    FakeRunner::open(settings, connector, weight_store)
}

async fn start_cluster(checks_fencing: bool) -> Cluster {
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    let connector = MemoryConnector::open();
    let weight_store = WeightStore::open(Duration::from_secs(1), 2);
    let (mut runners, mut data_centres) = (BTreeMap::new(), json!({}));
    for (data_centre_index, data_centre) in DATA_CENTRES.into_iter().enumerate() {
        let mut targets = json!({});
        for index in 0..RUNNERS_PER_DATA_CENTRE {
            let runner = open_runner(connector.clone(), weight_store.clone(), checks_fencing);
            let (name, address) =
                (format!("{data_centre}-{index}"), format!("10.0.{data_centre_index}.{index}:80"));
            connector.put_runner(&address, Arc::new(runner.clone()));
            targets[&name] = json!({"address": address, "model": MODEL});
            runners.insert(name, runner);
        }
        data_centres[data_centre] = json!({"runners": targets});
    }
    let record = json!({"version": 1, "history": [], "configuration": {
        "models": {MODEL: {"weight_version": 1, "serving": "ordinary"}},
        "serving": {"ordinary": {"loads_limit": 2, "serving_share_floor": 0.6}},
        "data_centres": data_centres,
    }});
    platform.put("config/current", None, serde_json::to_vec(&record).unwrap()).await.unwrap();
    let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
    let entries = (0..4).map(|index| {
        let data_centre = DATA_CENTRES[index / 2];
        let settings = json!({
            "entry_id": format!("{data_centre}-entry-{index}"),
            "data_centre": data_centre,
            "http_address": "127.0.0.1:0",
            "platform_address": "127.0.0.1:1",
        });
        Entry::spawn(EntryParts {
            settings: serde_json::from_value(settings).unwrap(),
            platform: platform.clone(),
            connector: connector.clone(),
            peers: NoPeers::open(),
            clock: clock.clone(),
            seed: index as u64,
            resume_key: None,
        })
    });
    let entries = entries.collect();
    let mut cluster =
        Cluster { platform, weight_store, runners, entries, configuration_version: 1 };
    cluster.wait(Duration::from_secs(3), 0).await;
    cluster
}

impl Cluster {
    async fn patch(&mut self, change: &Value) {
        let patch = Patch {
            patch_id: format!("patch-{}", self.configuration_version),
            base_version: self.configuration_version,
            change: change.clone(),
        };
        let outcome = self.entries[0].patch(&patch, "operator").await;
        assert!(matches!(outcome, skylarkpick_config::PatchOutcome::Accepted(_)), "{outcome:?}");
        self.configuration_version += 1;
    }

    async fn set_desired(&mut self, weight_version: u64, also_served: &[u64]) {
        let model =
            json!({"weight_version": weight_version, "also_served_weight_versions": also_served});
        self.patch(&json!({"models": {MODEL: model}})).await;
    }

    /// Lets time pass and checks throughout that at least `serving_floor` runners serve in each
    /// data centre.
    async fn wait(&mut self, time: Duration, serving_floor: usize) {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for data_centre in DATA_CENTRES {
                let serving = self.serving(data_centre).await;
                assert!(serving >= serving_floor, "{serving} runners serve in {data_centre}");
            }
        }
    }

    async fn serving(&self, data_centre: &str) -> usize {
        let mut serving = 0;
        for (_, runner) in self.runners.iter().filter(|(name, _)| name.starts_with(data_centre)) {
            serving += usize::from(runner.status().await.unwrap().loading.is_none());
        }
        serving
    }

    async fn versions(&self) -> Vec<u64> {
        let mut versions = Vec::new();
        for runner in self.runners.values() {
            versions.push(runner.status().await.unwrap().weight_version);
        }
        versions
    }

    /// Index of the entry process that holds a data centre's lease.
    async fn lease_holder(&self, data_centre: &str) -> Option<usize> {
        for (index, entry) in self.entries.iter().enumerate() {
            let state = entry.state().await;
            if state.data_centre == data_centre && state.planner.lease.fencing_number.is_some() {
                return Some(index);
            }
        }
        None
    }
}

enum Step {
    /// Patches the desired weight version and the versions that are served besides.
    SetDesired(u64, &'static [u64]),
    KillLeaseHolder,
    DrainLeaseHolder,
    DisconnectPlatform,
    ReconnectPlatform,
}

struct Case {
    name: &'static str,
    checks_fencing: bool,
    /// Steps with their time in seconds after the start.
    steps: &'static [(u64, Step)],
    desired_version: u64,
    /// Seconds after the start by which every runner must serve the desired version.
    ends_within_s: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        checks_fencing: true,
        steps: &[(0, Step::SetDesired(2, &[1]))],
        desired_version: 2,
        ends_within_s: 20,
    },
    Case {
        name: "targets that ignore the fencing number",
        checks_fencing: false,
        steps: &[(0, Step::SetDesired(2, &[1]))],
        desired_version: 2,
        ends_within_s: 20,
    },
    Case {
        name: "rolled back before it has completed",
        checks_fencing: true,
        steps: &[(0, Step::SetDesired(2, &[1])), (3, Step::SetDesired(1, &[2]))],
        desired_version: 1,
        ends_within_s: 20,
    },
    Case {
        name: "patched twice more before it has completed",
        checks_fencing: true,
        steps: &[
            (0, Step::SetDesired(2, &[1])),
            (2, Step::SetDesired(3, &[2, 1])),
            (3, Step::SetDesired(4, &[3, 2, 1])),
        ],
        desired_version: 4,
        ends_within_s: 30,
    },
    Case {
        name: "the lease holder is killed during a load",
        checks_fencing: false,
        steps: &[(0, Step::SetDesired(2, &[1])), (2, Step::KillLeaseHolder)],
        desired_version: 2,
        ends_within_s: 45,
    },
    Case {
        name: "the lease holder is drained",
        checks_fencing: true,
        steps: &[(0, Step::SetDesired(2, &[1])), (2, Step::DrainLeaseHolder)],
        desired_version: 2,
        ends_within_s: 30,
    },
    Case {
        name: "the platform is unavailable and a lease holder is killed",
        checks_fencing: true,
        steps: &[
            (0, Step::SetDesired(2, &[1])),
            (2, Step::DisconnectPlatform),
            (4, Step::KillLeaseHolder),
            (40, Step::ReconnectPlatform),
        ],
        desired_version: 2,
        ends_within_s: 90,
    },
];

#[tokio::test(start_paused = true)]
async fn completes_rollouts_in_time_while_enough_runners_serve() {
    for case in CASES {
        let mut cluster = start_cluster(case.checks_fencing).await;
        let mut elapsed_s = 0;
        for (at_s, step) in case.steps {
            cluster.wait(Duration::from_secs(at_s - elapsed_s), 3).await;
            elapsed_s = *at_s;
            match step {
                Step::SetDesired(version, also_served) => {
                    cluster.set_desired(*version, also_served).await;
                }
                Step::KillLeaseHolder => {
                    let holder = cluster.lease_holder("mnl-b").await.unwrap_or(2);
                    cluster.entries.remove(holder);
                }
                Step::DrainLeaseHolder => {
                    let holder = cluster.lease_holder("mnl-b").await.expect(case.name);
                    cluster.entries[holder].drain();
                }
                Step::DisconnectPlatform => {
                    cluster.platform.set_faults(|faults| faults.unavailable = true)
                }
                Step::ReconnectPlatform => {
                    cluster.platform.set_faults(|faults| faults.unavailable = false)
                }
            }
        }
        cluster.wait(Duration::from_secs(case.ends_within_s - elapsed_s), 3).await;
        assert!(
            cluster.versions().await.iter().all(|version| *version == case.desired_version),
            "{}: {:?}",
            case.name,
            cluster.versions().await
        );
        let peak = cluster.weight_store.peak_concurrent_loads();
        assert!((1..=2).contains(&peak), "{}: {peak} loads at once", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn reloads_a_runner_that_a_foreign_order_moved_to_old_weights() {
    let mut cluster = start_cluster(false).await;
    cluster.set_desired(2, &[1]).await;
    cluster.wait(Duration::from_secs(20), 3).await;
    let runner = cluster.runners["mnl-a-1"].clone();
    let kind = skylarkpick_interface::OrderKind::Load {
        model: MODEL.to_string(),
        weight_version: 1,
        adapters: Vec::new(),
    };
    runner.order(skylarkpick_interface::Order { fencing_number: 1, kind }).await.unwrap();
    assert_eq!(runner.status().await.unwrap().weight_version, 1);
    cluster.wait(Duration::from_secs(10), 3).await;
    assert_eq!(runner.status().await.unwrap().weight_version, 2);
}

#[tokio::test(start_paused = true)]
async fn only_the_lease_holder_reports_deferred_runners() {
    let mut cluster = start_cluster(true).await;
    cluster
        .patch(&json!({"serving": {"ordinary": {"serving_share_floor": 1.0, "loads_limit": 1}}}))
        .await;
    cluster.set_desired(2, &[1]).await;
    cluster.wait(Duration::from_secs(2), 2).await;
    let holder = cluster.lease_holder("mnl-a").await.unwrap();
    let planner = cluster.entries[holder].state().await.planner;
    assert_eq!(planner.lease.key, "leases/planner/mnl-a");
    assert!(planner.waiting.len() >= 3, "{planner:?}");
    let others = cluster.entries.iter().enumerate().filter(|(index, _)| *index != holder);
    for (_, entry) in others {
        let state = entry.state().await;
        assert!(state.data_centre != "mnl-a" || state.planner.waiting.is_empty());
    }
}

/// Two planners acquire slots concurrently while the platform loses writes or their responses.
#[tokio::test(start_paused = true)]
async fn never_grants_more_load_slots_than_the_limit() {
    let faults: [fn(&mut PlatformFaults); 3] = [
        |_| {},
        |faults| faults.lost_write_responses = 3,
        |faults| (faults.lost_writes, faults.lost_write_responses) = (2, 2),
    ];
    for fault in faults {
        let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
        platform.set_faults(|faults| faults.delay = Duration::from_millis(3));
        let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
        let open = |data_centre| LoadSlots::open(platform.clone(), clock.clone(), data_centre);
        let (a, b) = (open("mnl-a"), open("mnl-b"));
        platform.set_faults(fault);
        let mut granted = 0;
        for round in 0..4 {
            let (first, second) = (format!("a-{round}"), format!("b-{round}"));
            let acquired = tokio::join!(a.acquire(&first, 2, 2), b.acquire(&second, 2, 2));
            granted += usize::from(acquired.0) + usize::from(acquired.1);
            assert!(a.read().await.unwrap().len() <= 2);
        }
        assert_eq!(granted, 2);
        for name in ["a-0", "a-1", "a-2", "a-3"] {
            a.release(name).await;
        }
        assert!(a.read().await.unwrap().iter().all(|load| load.runner.starts_with("b-")));
    }
}
