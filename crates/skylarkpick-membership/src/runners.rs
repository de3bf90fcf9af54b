//! What reporters see of runners, and its compact form in messages.

use crate::{gossip_state::is_leaving, membership::Membership, rendezvous::digest_of};
use skylarkpick_interface::{LoadReport, RunnerStatus};
use skylarkpick_protocol::peer::{CentreLoad, Gossip, RunnerLoad, RunnerState};
use std::time::Duration;

/// Prompt tokens in one unit of a compact load.
const TOKENS_PER_UNIT: u64 = 64;
/// Milliseconds in one unit of a compact load's age.
const AGE_UNIT_MS: u32 = 16;
/// Shortest time between two reads of one runner.
const LOAD_INTERVAL_FLOOR: Duration = Duration::from_millis(250);
/// Bytes of one runner's load in a message.
const LOAD_SIZE_BYTES: f64 = 24.0;
/// Time after which an unchanged load is sent again, as a sign that its runner answers.
const LOAD_REPEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Milliseconds of incarnation for each step of a first sequence number.
const SEQUENCE_STEP_MS: u64 = 256;

/// What is known of a runner, for the router.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerLoadView {
    /// What the runner serves, once known; `leaving` by anybody's word.
    pub status: Option<RunnerStatus>,
    /// Its load; for a runner of another data centre, the mean over its model there.
    pub load: Option<LoadReport>,
}

/// The report that a compact load stands for.
pub fn load_report(load: &RunnerLoad) -> LoadReport {
    LoadReport {
        queued_runs: load.queued_runs,
        queued_prompt_tokens: u64::from(load.queued_prompt_units) * TOKENS_PER_UNIT,
        active_runs: load.active_runs,
        slots: load.slots,
        prefill_tokens_per_second: f64::from(load.prefill_units_per_second)
            * TOKENS_PER_UNIT as f64,
        age: Duration::from_millis(u64::from(load.age_units) * u64::from(AGE_UNIT_MS)),
        leaving: false,
    }
}

fn mean_report(sum: &CentreLoad) -> Option<LoadReport> {
    let runners = sum.runners;
    (runners > 0).then(|| LoadReport {
        queued_runs: sum.queued_runs / runners,
        queued_prompt_tokens: u64::from(sum.queued_prompt_units) * TOKENS_PER_UNIT
            / u64::from(runners),
        active_runs: sum.active_runs / runners,
        slots: sum.slots / runners,
        prefill_tokens_per_second: f64::from(sum.prefill_units_per_second) * TOKENS_PER_UNIT as f64
            / f64::from(runners),
        age: Duration::ZERO,
        leaving: false,
    })
}

fn units(tokens: u64) -> u32 {
    u32::try_from(tokens.div_ceil(TOKENS_PER_UNIT)).unwrap_or(u32::MAX)
}

impl Membership {
    /// Time between two reads of one runner, so that spreading the loads of the data centre stays
    /// within its bytes a second.
    pub fn load_interval(&self) -> Duration {
        let centre = &self.parts.data_centre;
        let runners = self.places.values().filter(|place| place.data_centre == *centre).count();
        let copies = f64::from(self.parts.parameters.load_copies);
        let bytes = runners as f64 * LOAD_SIZE_BYTES * copies;
        let interval = Duration::from_secs_f64(bytes / self.parts.parameters.load_bytes_per_second);
        interval.max(LOAD_INTERVAL_FLOOR)
    }

    /// Takes in what a runner says of itself.
    pub fn observe_status(&mut self, now: Duration, runner: &str, status: &RunnerStatus) {
        let known = self.state_of(runner);
        // The runner's own mark need not grow, so its starts are counted here.
        let restarted = known.incarnation == 0 || known.start_mark != status.incarnation;
        let incarnation = known.incarnation + u64::from(restarted);
        let leaving_now = if status.leaving { incarnation + 1 } else { 0 };
        let seen = RunnerState {
            runner: known.runner,
            incarnation,
            start_mark: status.incarnation,
            revision: known.revision,
            weight_version: status.weight_version,
            loading_plus_one: status.loading.map_or(0, |version| version + 1),
            leaving_plus_one: known.leaving_plus_one.max(leaving_now),
            unreachable: false,
        };
        self.offer_state(now, &known, seen);
    }

    /// Takes in that a runner gave its reporter no answer.
    pub fn observe_unreachable(&mut self, now: Duration, runner: &str) {
        let known = self.state_of(runner);
        self.offer_state(now, &known, RunnerState { unreachable: true, ..known });
    }

    /// Takes in that the present start of a target leaves, from whichever source.
    pub fn observe_leaving(&mut self, now: Duration, target: &str) {
        let known = self.state_of(target);
        // Nobody reads a target that is no runner, so its first start is the one spoken of.
        let read = self.places.contains_key(&known.runner);
        let incarnation = if read { known.incarnation } else { known.incarnation.max(1) };
        let leaving_plus_one = known.leaving_plus_one.max(incarnation + 1);
        let seen = RunnerState { incarnation, leaving_plus_one, ..known };
        if seen != known {
            self.merge(now, Gossip { runner_states: vec![seen], ..Gossip::default() });
        }
    }

    /// Takes in what the platform's list says of a target. The list lags: while it goes on saying
    /// that a target leaves, a new start of the target is not taken for the one that left.
    pub fn observe_listed(&mut self, now: Duration, target: &str, leaving: bool) {
        let key = digest_of(target);
        if !leaving {
            let before = self.listed.insert(key, false);
            self.note_listed_live(now, target, before);
            return;
        }
        let before = self.listed.insert(key, true);
        let unflagged = self.state_of(target).leaving_plus_one == 0;
        if before == Some(false) || (before.is_none() && unflagged) {
            self.observe_leaving(now, target);
        }
    }

    /// For a target that is no runner, the list alone tells of a new start.
    fn note_listed_live(&mut self, now: Duration, target: &str, before: Option<bool>) {
        let known = self.state_of(target);
        let read = self.places.contains_key(&known.runner);
        if !read && before != Some(false) && is_leaving(&known) {
            let started = RunnerState { incarnation: known.incarnation + 1, ..known };
            self.offer_state(now, &known, started);
        }
    }

    /// Takes in a load report.
    pub fn observe_load(&mut self, now: Duration, runner: &str, report: &LoadReport) {
        if report.leaving {
            self.observe_leaving(now, runner);
        }
        let key = digest_of(runner);
        let known = self.gossip_state.runner_loads.get(&key).copied();
        let first = self.first_sequence();
        let load = RunnerLoad {
            runner: key,
            sequence: known.map_or(first, |known| (known.sequence + 1).max(first)),
            queued_runs: report.queued_runs,
            queued_prompt_units: units(report.queued_prompt_tokens),
            active_runs: report.active_runs,
            slots: report.slots,
            prefill_units_per_second: units(report.prefill_tokens_per_second as u64),
            age_units: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX) / AGE_UNIT_MS,
        };
        let (sequence, age_units) = (load.sequence, load.age_units);
        let same = known.is_some_and(|known| RunnerLoad { sequence, age_units, ..known } == load);
        let repeat_at = self.loads_repeat_at.get(&key).copied().unwrap_or_default();
        if !same || now >= repeat_at {
            self.loads_repeat_at.insert(key, now + LOAD_REPEAT_INTERVAL);
            self.merge(now, Gossip { runner_loads: vec![load], ..Gossip::default() });
        }
    }

    /// What is known of a runner.
    pub fn runner_view(&self, runner: &str) -> RunnerLoadView {
        let key = digest_of(runner);
        let place = self.places.get(&key);
        let status =
            self.gossip_state.runner_states.get(&key).filter(|state| state.incarnation > 0);
        let status = status.map(|state| RunnerStatus {
            model: place.map(|place| place.model.clone()).unwrap_or_default(),
            weight_version: state.weight_version,
            loading: state.loading_plus_one.checked_sub(1),
            leaving: is_leaving(state),
            incarnation: state.incarnation,
        });
        let load = self.gossip_state.runner_loads.get(&key).map(|load| self.aged(load));
        let load = load.or_else(|| {
            let place = place?;
            let sum = (place.data_centre.clone(), place.model.clone());
            mean_report(self.gossip_state.centre_loads.get(&sum)?)
        });
        RunnerLoadView { status, load }
    }

    /// The report with the time added that gossip takes on average.
    fn aged(&self, load: &RunnerLoad) -> LoadReport {
        let report = load_report(load);
        let rounds = (self.live_count as f64).log2() / 2.0;
        let delay = self.parts.parameters.gossip_interval.mul_f64(rounds.max(0.0));
        LoadReport { age: report.age + delay, ..report }
    }

    fn state_of(&self, runner: &str) -> RunnerState {
        let key = digest_of(runner);
        let known = self.gossip_state.runner_states.get(&key).copied();
        known.unwrap_or(RunnerState { runner: key, ..RunnerState::default() })
    }

    fn offer_state(&mut self, now: Duration, known: &RunnerState, seen: RunnerState) {
        if seen == *known {
            return;
        }
        let restarted = seen.incarnation > known.incarnation;
        let revision = if restarted { 1 } else { known.revision + 1 };
        let seen = RunnerState { revision, ..seen };
        self.merge(now, Gossip { runner_states: vec![seen], ..Gossip::default() });
    }

    /// First number of a row of loads, above those of every process that started earlier.
    pub(crate) fn first_sequence(&self) -> u64 {
        self.parts.incarnation / SEQUENCE_STEP_MS + 1
    }
}
