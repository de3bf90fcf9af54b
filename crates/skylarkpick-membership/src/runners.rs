//! Runner states and loads: what reporters observe, its compact encoding in messages, and the view
//! of a runner that gossip yields.

use crate::{gossip_state::is_leaving, membership::Membership, rendezvous::digest_of};
use skylarkpick_interface::{LoadReport, RunnerStatus};
use skylarkpick_protocol::peer::{CentreLoad, Gossip, RunnerLoad, RunnerState};
use std::time::Duration;

/// Prompt tokens in one unit of an encoded load.
const TOKENS_PER_UNIT: u64 = 64;
/// Milliseconds in one unit of an encoded load's age.
const AGE_UNIT_MS: u32 = 16;
/// Shortest time between two reads of a runner.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Encoded size of one runner's load in a message.
const LOAD_SIZE_BYTES: f64 = 24.0;
/// Time after which an unchanged load is sent again, which shows that the runner still responds.
const LOAD_REPEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Milliseconds of the process's incarnation per sequence number; see
/// [`Membership::first_sequence`].
const SEQUENCE_STEP_MS: u64 = 256;

/// State and load of a runner, for the router.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerView {
    /// Status of the runner, once known; `leaving` is set if any process flagged it.
    pub status: Option<RunnerStatus>,
    /// Load of the runner; in another data centre, the mean over the runners of its model there.
    pub load: Option<LoadReport>,
}

/// Decodes the load of a runner.
pub fn decode_load(load: &RunnerLoad) -> LoadReport {
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

/// Returns the mean load per runner of a data centre's total.
fn mean_load(total: &CentreLoad) -> Option<LoadReport> {
    let runners = total.runners;
    (runners > 0).then(|| LoadReport {
        queued_runs: total.queued_runs / runners,
        queued_prompt_tokens: u64::from(total.queued_prompt_units) * TOKENS_PER_UNIT
            / u64::from(runners),
        active_runs: total.active_runs / runners,
        slots: total.slots / runners,
        prefill_tokens_per_second: f64::from(total.prefill_units_per_second)
            * TOKENS_PER_UNIT as f64
            / f64::from(runners),
        age: Duration::ZERO,
        leaving: false,
    })
}

/// Returns a number of tokens in units, rounded up.
fn token_units(tokens: u64) -> u32 {
    u32::try_from(tokens.div_ceil(TOKENS_PER_UNIT)).unwrap_or(u32::MAX)
}

impl Membership {
    /// Returns the time between two reads of a runner, which grows with the number of runners in
    /// the data centre, so that gossip about their loads stays within
    /// [`ProtocolParameters::load_bytes_per_second`](crate::ProtocolParameters::load_bytes_per_second).
    pub fn load_interval(&self) -> Duration {
        let data_centre = &self.settings.data_centre;
        let runners =
            self.runners.values().filter(|runner| runner.data_centre == *data_centre).count();
        let copies = f64::from(self.settings.parameters.load_copies);
        let bytes = runners as f64 * LOAD_SIZE_BYTES * copies;
        let interval =
            Duration::from_secs_f64(bytes / self.settings.parameters.load_bytes_per_second);
        interval.max(MIN_LOAD_INTERVAL)
    }

    /// Records the status that a runner reported.
    pub fn observe_status(&mut self, now: Duration, runner: &str, status: &RunnerStatus) {
        let known = self.state_of(runner);
        // The incarnation that the runner reports changes with each start but need not grow, so
        // starts are counted here.
        let restarted = known.incarnation == 0 || known.start_mark != status.incarnation;
        let incarnation = known.incarnation + u64::from(restarted);
        let reported_leaving = if status.leaving { incarnation + 1 } else { 0 };
        let seen = RunnerState {
            runner: known.runner,
            incarnation,
            start_mark: status.incarnation,
            revision: known.revision,
            weight_version: status.weight_version,
            loading_plus_one: status.loading.map_or(0, |version| version + 1),
            leaving_plus_one: known.leaving_plus_one.max(reported_leaving),
            unreachable: false,
        };
        self.publish_state(now, &known, seen);
    }

    /// Records that a runner didn't respond to its reporter.
    pub fn observe_unreachable(&mut self, now: Duration, runner: &str) {
        let known = self.state_of(runner);
        self.publish_state(now, &known, RunnerState { unreachable: true, ..known });
    }

    /// Records that the current incarnation of a target is leaving, from any source.
    pub fn observe_leaving(&mut self, now: Duration, target: &str) {
        let known = self.state_of(target);
        // Targets that are not runners have no reporter to count their starts, so an unknown
        // incarnation is the first.
        let is_runner = self.runners.contains_key(&known.runner);
        let incarnation = if is_runner { known.incarnation } else { known.incarnation.max(1) };
        let leaving_plus_one = known.leaving_plus_one.max(incarnation + 1);
        let seen = RunnerState { incarnation, leaving_plus_one, ..known };
        if seen != known {
            self.merge(now, Gossip { runner_states: vec![seen], ..Gossip::default() });
        }
    }

    /// Records the platform's list entry of a target. The list lags behind: it may still flag a
    /// target as leaving after the target has restarted. So only a change to leaving, or the first
    /// entry of a target without a leaving flag, flags the current incarnation.
    pub fn observe_listed(&mut self, now: Duration, target: &str, leaving: bool) {
        let key = digest_of(target);
        if !leaving {
            let before = self.listed_leaving.insert(key, false);
            self.observe_listed_as_live(now, target, before);
            return;
        }
        let before = self.listed_leaving.insert(key, true);
        let unflagged = self.state_of(target).leaving_plus_one == 0;
        if before == Some(false) || (before.is_none() && unflagged) {
            self.observe_leaving(now, target);
        }
    }

    /// Records that the list shows a target as not leaving. For a target that is not a runner, this
    /// is the only sign of a new incarnation.
    fn observe_listed_as_live(&mut self, now: Duration, target: &str, before: Option<bool>) {
        let known = self.state_of(target);
        let is_runner = self.runners.contains_key(&known.runner);
        if !is_runner && before != Some(false) && is_leaving(&known) {
            let started = RunnerState { incarnation: known.incarnation + 1, ..known };
            self.publish_state(now, &known, started);
        }
    }

    /// Records the load that a runner reported.
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
            queued_prompt_units: token_units(report.queued_prompt_tokens),
            active_runs: report.active_runs,
            slots: report.slots,
            prefill_units_per_second: token_units(report.prefill_tokens_per_second as u64),
            age_units: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX) / AGE_UNIT_MS,
        };
        let (sequence, age_units) = (load.sequence, load.age_units);
        let unchanged =
            known.is_some_and(|known| RunnerLoad { sequence, age_units, ..known } == load);
        let repeat_at = self.loads_repeat_at.get(&key).copied().unwrap_or_default();
        if !unchanged || now >= repeat_at {
            self.loads_repeat_at.insert(key, now + LOAD_REPEAT_INTERVAL);
            self.merge(now, Gossip { runner_loads: vec![load], ..Gossip::default() });
        }
    }

    /// Returns the state and load of a runner.
    pub fn runner_view(&self, runner: &str) -> RunnerView {
        let key = digest_of(runner);
        let info = self.runners.get(&key);
        let status =
            self.gossip_state.runner_states.get(&key).filter(|state| state.incarnation > 0);
        let status = status.map(|state| RunnerStatus {
            model: info.map(|info| info.model.clone()).unwrap_or_default(),
            weight_version: state.weight_version,
            loading: state.loading_plus_one.checked_sub(1),
            leaving: is_leaving(state),
            incarnation: state.incarnation,
        });
        let load = self.gossip_state.runner_loads.get(&key).map(|load| self.aged(load));
        let load = load.or_else(|| {
            let info = info?;
            let total = (info.data_centre.clone(), info.model.clone());
            mean_load(self.gossip_state.data_centre_loads.get(&total)?)
        });
        RunnerView { status, load }
    }

    /// Returns the load report, with the average delay of gossip added to its age.
    fn aged(&self, load: &RunnerLoad) -> LoadReport {
        let report = decode_load(load);
        let rounds = (self.live_count as f64).log2() / 2.0;
        let delay = self.settings.parameters.gossip_interval.mul_f64(rounds.max(0.0));
        LoadReport { age: report.age + delay, ..report }
    }

    fn state_of(&self, runner: &str) -> RunnerState {
        let key = digest_of(runner);
        let known = self.gossip_state.runner_states.get(&key).copied();
        known.unwrap_or(RunnerState { runner: key, ..RunnerState::default() })
    }

    /// Merges an observed state of a runner under the next revision, if it differs from the known
    /// one.
    fn publish_state(&mut self, now: Duration, known: &RunnerState, seen: RunnerState) {
        if seen == *known {
            return;
        }
        let restarted = seen.incarnation > known.incarnation;
        let revision = if restarted { 1 } else { known.revision + 1 };
        let seen = RunnerState { revision, ..seen };
        self.merge(now, Gossip { runner_states: vec![seen], ..Gossip::default() });
    }

    /// Returns the first sequence number of the loads that this process reports. It grows with the
    /// start time of the process, so that its loads replace those of reporters that started
    /// earlier.
    pub(crate) fn first_sequence(&self) -> u64 {
        self.settings.incarnation / SEQUENCE_STEP_MS + 1
    }
}
