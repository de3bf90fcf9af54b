//! Whole roll-outs over two data centres that share a weight store, on paused time.

use super::loads::Loads;
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
const CENTRES: [&str; 2] = ["mnl-a", "mnl-b"];
const RUNNERS_PER_CENTRE: usize = 4;

struct Site {
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

async fn site(checks_fencing: bool) -> Site {
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    let connector = MemoryConnector::open();
    let weight_store = WeightStore::open(Duration::from_secs(1), 2);
    let (mut runners, mut centres) = (BTreeMap::new(), json!({}));
    for (centre_index, centre) in CENTRES.into_iter().enumerate() {
        let mut targets = json!({});
        for index in 0..RUNNERS_PER_CENTRE {
            let runner = open_runner(connector.clone(), weight_store.clone(), checks_fencing);
            let (name, address) =
                (format!("{centre}-{index}"), format!("10.0.{centre_index}.{index}:80"));
            connector.put_runner(&address, Arc::new(runner.clone()));
            targets[&name] = json!({"address": address, "model": MODEL});
            runners.insert(name, runner);
        }
        centres[centre] = json!({"runners": targets});
    }
    let record = json!({"version": 1, "history": [], "configuration": {
        "models": {MODEL: {"weight_version": 1, "serving": "ordinary"}},
        "serving": {"ordinary": {"loads_limit": 2, "serving_share_floor": 0.6}},
        "data_centres": centres,
    }});
    platform.put("config/current", None, serde_json::to_vec(&record).unwrap()).await.unwrap();
    let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
    let entries = (0..4).map(|index| {
        let centre = CENTRES[index / 2];
        let settings = json!({
            "entry_id": format!("{centre}-entry-{index}"),
            "data_centre": centre,
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
    let mut site = Site { platform, weight_store, runners, entries, configuration_version: 1 };
    site.wait(Duration::from_secs(3), 0).await;
    site
}

impl Site {
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

    async fn want(&mut self, weight_version: u64, also: &[u64]) {
        let model = json!({"weight_version": weight_version, "also_served_weight_versions": also});
        self.patch(&json!({"models": {MODEL: model}})).await;
    }

    /// Lets time pass and checks all the while that enough runners serve.
    async fn wait(&mut self, time: Duration, serving_floor: usize) {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for centre in CENTRES {
                let serving = self.serving(centre).await;
                assert!(serving >= serving_floor, "{serving} runners serve in {centre}");
            }
        }
    }

    async fn serving(&self, centre: &str) -> usize {
        let mut serving = 0;
        for (_, runner) in self.runners.iter().filter(|(name, _)| name.starts_with(centre)) {
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

    /// The entry process that holds a data centre's lease.
    async fn holder(&self, centre: &str) -> Option<usize> {
        for (index, entry) in self.entries.iter().enumerate() {
            let state = entry.state().await;
            if state.data_centre == centre && state.planner.lease.fencing_number.is_some() {
                return Some(index);
            }
        }
        None
    }
}

/// Steps of a roll-out; `(seconds after the first patch, what happens)`.
enum Step {
    Want(u64, &'static [u64]),
    KillHolder,
    DrainHolder,
    PlatformAway,
    PlatformBack,
}

struct Case {
    name: &'static str,
    checks_fencing: bool,
    steps: &'static [(u64, Step)],
    wanted: u64,
    /// Seconds after the first patch at which all runners serve the wanted weights.
    ends_within_s: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "plain",
        checks_fencing: true,
        steps: &[(0, Step::Want(2, &[1]))],
        wanted: 2,
        ends_within_s: 20,
    },
    Case {
        name: "targets that ignore the fencing number",
        checks_fencing: false,
        steps: &[(0, Step::Want(2, &[1]))],
        wanted: 2,
        ends_within_s: 20,
    },
    Case {
        name: "a bad version is taken back in the middle",
        checks_fencing: true,
        steps: &[(0, Step::Want(2, &[1])), (3, Step::Want(1, &[2]))],
        wanted: 1,
        ends_within_s: 20,
    },
    Case {
        name: "operators patch again in the middle",
        checks_fencing: true,
        steps: &[
            (0, Step::Want(2, &[1])),
            (2, Step::Want(3, &[2, 1])),
            (3, Step::Want(4, &[3, 2, 1])),
        ],
        wanted: 4,
        ends_within_s: 30,
    },
    Case {
        name: "the planner dies in the middle of a load",
        checks_fencing: false,
        steps: &[(0, Step::Want(2, &[1])), (2, Step::KillHolder)],
        wanted: 2,
        ends_within_s: 45,
    },
    Case {
        name: "the planner's process is drained",
        checks_fencing: true,
        steps: &[(0, Step::Want(2, &[1])), (2, Step::DrainHolder)],
        wanted: 2,
        ends_within_s: 30,
    },
    Case {
        name: "the platform goes away, and a planner dies too",
        checks_fencing: true,
        steps: &[
            (0, Step::Want(2, &[1])),
            (2, Step::PlatformAway),
            (4, Step::KillHolder),
            (40, Step::PlatformBack),
        ],
        wanted: 2,
        ends_within_s: 90,
    },
];

#[tokio::test(start_paused = true)]
async fn rollouts_end_within_their_bounds() {
    for case in CASES {
        let mut site = site(case.checks_fencing).await;
        let mut elapsed_s = 0;
        for (at_s, step) in case.steps {
            site.wait(Duration::from_secs(at_s - elapsed_s), 3).await;
            elapsed_s = *at_s;
            match step {
                Step::Want(version, also) => site.want(*version, also).await,
                Step::KillHolder => {
                    let holder = site.holder("mnl-b").await.unwrap_or(2);
                    site.entries.remove(holder);
                }
                Step::DrainHolder => {
                    let holder = site.holder("mnl-b").await.expect(case.name);
                    site.entries[holder].drain();
                }
                Step::PlatformAway => site.platform.set_faults(|faults| faults.away = true),
                Step::PlatformBack => site.platform.set_faults(|faults| faults.away = false),
            }
        }
        site.wait(Duration::from_secs(case.ends_within_s - elapsed_s), 3).await;
        assert!(
            site.versions().await.iter().all(|version| *version == case.wanted),
            "{}: {:?}",
            case.name,
            site.versions().await
        );
        let peak = site.weight_store.loads_peak();
        assert!((1..=2).contains(&peak), "{}: {peak} loads at once", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_stray_order_is_repaired() {
    let mut site = site(false).await;
    site.want(2, &[1]).await;
    site.wait(Duration::from_secs(20), 3).await;
    let runner = site.runners["mnl-a-1"].clone();
    let kind = skylarkpick_interface::OrderKind::Load {
        model: MODEL.to_string(),
        weight_version: 1,
        adapters: Vec::new(),
    };
    runner.order(skylarkpick_interface::Order { fencing_number: 1, kind }).await.unwrap();
    assert_eq!(runner.status().await.unwrap().weight_version, 1);
    site.wait(Duration::from_secs(10), 3).await;
    assert_eq!(runner.status().await.unwrap().weight_version, 2);
}

#[tokio::test(start_paused = true)]
async fn the_dump_says_why_a_runner_waits() {
    let mut site = site(true).await;
    site.patch(&json!({"serving": {"ordinary": {"serving_share_floor": 1.0, "loads_limit": 1}}}))
        .await;
    site.want(2, &[1]).await;
    site.wait(Duration::from_secs(2), 2).await;
    let holder = site.holder("mnl-a").await.unwrap();
    let planner = site.entries[holder].state().await.planner;
    assert_eq!(planner.lease.key, "leases/planner/mnl-a");
    assert!(planner.waiting.len() >= 3, "{planner:?}");
    let others = site.entries.iter().enumerate().filter(|(index, _)| *index != holder);
    for (_, entry) in others {
        let state = entry.state().await;
        assert!(state.data_centre != "mnl-a" || state.planner.waiting.is_empty());
    }
}

/// Faults of the platform while many planners want places at once.
#[tokio::test(start_paused = true)]
async fn planners_never_take_more_places_than_there_are() {
    let faults: [fn(&mut PlatformFaults); 3] = [
        |_| {},
        |faults| faults.lost_write_answers = 3,
        |faults| (faults.lost_writes, faults.lost_write_answers) = (2, 2),
    ];
    for fault in faults {
        let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
        platform.set_faults(|faults| faults.delay = Duration::from_millis(3));
        let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
        let open = |centre| Loads::open(platform.clone(), clock.clone(), centre);
        let (a, b) = (open("mnl-a"), open("mnl-b"));
        platform.set_faults(fault);
        let mut taken = 0;
        for round in 0..4 {
            let (first, second) = (format!("a-{round}"), format!("b-{round}"));
            let places = tokio::join!(a.take(&first, 2, 2), b.take(&second, 2, 2));
            taken += usize::from(places.0) + usize::from(places.1);
            assert!(a.read().await.unwrap().len() <= 2);
        }
        assert_eq!(taken, 2);
        for name in ["a-0", "a-1", "a-2", "a-3"] {
            a.give_back(name).await;
        }
        assert!(a.read().await.unwrap().iter().all(|load| load.runner.starts_with("b-")));
    }
}
