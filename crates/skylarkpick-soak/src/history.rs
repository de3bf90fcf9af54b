//! The history of a soak: client calls, runs of targets, disturbances, and the changes that the
//! operator made.

use crate::checks::CONFIGURATION_LIMIT;
use skylarkpick_platform_standin::{
    Arrival, ClientRequest, ClientResponse, StreamEvent, stream_event_count, whole_events,
};
use std::time::Duration;
use tokio::time::Instant;

/// Time after the end of a disturbance until the time limits hold for a process again. The
/// requirements call it the contact window.
const CONTACT_WINDOW: Duration = Duration::from_secs(4);
/// The same for the time limits on the configuration, without tolerance.
const CONFIGURATION_CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Software version of a target.
pub(crate) type SoftwareVersion = &'static str;

/// Kind of a client call, by its route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    /// An idempotent request.
    Read,
    /// A non-idempotent request, which must run at most once.
    Write,
    /// An event stream that can be resumed on another target.
    Events,
    /// An event stream that can't be resumed and must run at most once.
    Unresumable,
}

impl CallKind {
    pub(crate) const ALL: [CallKind; 4] =
        [CallKind::Read, CallKind::Write, CallKind::Events, CallKind::Unresumable];
    /// The kinds of requests that end targets.
    pub(crate) const CRASHING: [CallKind; 3] = [CallKind::Read, CallKind::Write, CallKind::Events];

    /// Returns the name of the route.
    pub(crate) fn route(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Write => "write",
            CallKind::Events => "events",
            CallKind::Unresumable => "unresumable",
        }
    }

    /// Returns the number of attempts that the route allows.
    pub(crate) fn attempts(self) -> u32 {
        match self {
            CallKind::Read | CallKind::Events => 2,
            CallKind::Write | CallKind::Unresumable => 1,
        }
    }

    /// Returns whether a request may run only once.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, CallKind::Write | CallKind::Unresumable)
    }

    /// Returns whether the response is a stream.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, CallKind::Events | CallKind::Unresumable)
    }
}

/// A client call with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) process: usize,
    pub(crate) kind: CallKind,
    pub(crate) request: ClientRequest,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) response: ClientResponse,
    /// Whether the client disconnects soon instead of waiting for the response.
    pub(crate) disconnects_early: bool,
}

impl Call {
    /// Returns the name of the route.
    pub(crate) fn route(&self) -> &str {
        self.request.path.split('/').nth(1).unwrap_or_default()
    }

    /// Returns the whole events of a stream that arrived.
    pub(crate) fn events(&self) -> Vec<StreamEvent> {
        match self.kind {
            CallKind::Events | CallKind::Unresumable => whole_events(&self.response.body).0,
            CallKind::Read | CallKind::Write => Vec::new(),
        }
    }

    /// Returns the number of the last whole event that arrived.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.events().last().map(|event| event.index)
    }

    /// Whether the response arrived completely, with success.
    pub(crate) fn is_served(&self) -> bool {
        self.response.status == Some(200) && self.response.is_complete
    }

    /// Whether all of a stream has arrived, and its end.
    pub(crate) fn is_stream_whole(&self) -> bool {
        let is_last = self.last_event_id() == Some(stream_event_count(&self.request.path));
        self.is_served() && (self.response.is_end_marked || is_last)
    }

    /// Whether the response is a stream that began, or went on.
    pub(crate) fn is_stream_begun(&self) -> bool {
        self.response.status == Some(200)
            && (self.response.is_complete || !self.events().is_empty())
    }

    /// Whether the status promises that the request has not run.
    pub(crate) fn is_rejected(&self) -> bool {
        matches!(self.response.status, Some(408 | 421 | 429 | 503))
    }

    /// Returns the ID of the client attempt that brought the first event of the stream.
    pub(crate) fn stream_id(&self) -> &str {
        self.request.resumes.as_deref().unwrap_or(&self.request.attempt_id)
    }
}

/// Time for which a target served at a software version.
#[derive(Clone, Debug)]
pub(crate) struct ServingTarget {
    pub(crate) target: String,
    pub(crate) version: SoftwareVersion,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

impl ServingTarget {
    pub(crate) fn from_now(target: &str, version: SoftwareVersion) -> ServingTarget {
        ServingTarget { target: target.to_string(), version, from: Instant::now(), until: None }
    }
}

/// What a disturbance affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DisturbanceScope {
    /// A process, or its link to the platform.
    Process(usize),
    /// A process that was sent SIGTERM, until it has restarted.
    PlannedRestart(usize),
    /// The platform, which affects all processes.
    Platform,
    /// A target.
    Target,
    /// All targets, which end at the same moment.
    AllTargets,
    /// The links from all processes to a target.
    TargetLink,
}

/// A cut of the first processes, so many, from all targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetCut {
    pub(crate) processes: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// A time in which all targets, so many, say that they are brittle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrittleTime {
    pub(crate) targets: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// A disturbance with its start and its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    pub(crate) scope: DisturbanceScope,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// An API key, with the time in which it is configured.
#[derive(Clone, Debug)]
pub(crate) struct ConfiguredKey {
    pub(crate) key: String,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// A route that the operator added, with the time in which it is configured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfiguredRoute {
    pub(crate) name: &'static str,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// The exit of a process. Findings show it in its `Debug` format.
#[derive(Clone, Debug)]
pub(crate) struct ProcessEnd {
    pub(crate) process: usize,
    pub(crate) at: Instant,
    /// When it was sent SIGTERM.
    pub(crate) terminated: Option<Instant>,
    /// When a planned fault killed it; the supervisor does not set this when it kills a process that
    /// did not exit after SIGTERM.
    pub(crate) killed: Option<Instant>,
    pub(crate) is_success: bool,
}

/// All observations of a run.
#[derive(Clone, Debug)]
pub(crate) struct History {
    /// When the fault plan started. Findings show the times of calls relative to it.
    pub(crate) started_at: Instant,
    pub(crate) calls: Vec<Call>,
    /// Requests that arrived at targets.
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) disturbances: Vec<Disturbance>,
    pub(crate) keys: Vec<ConfiguredKey>,
    /// Routes beside those of the kinds of calls.
    pub(crate) added_routes: Vec<ConfiguredRoute>,
    /// Times in which the platform's store did not have the newest configuration, since it lost it.
    pub(crate) configuration_losses: Vec<(Instant, Option<Instant>)>,
    /// Times in which the platform's store was away before it came back from a copy.
    pub(crate) store_returns: Vec<(Instant, Instant)>,
    /// Targets that are being drained, with the time at which the platform announced it.
    pub(crate) draining: Vec<(String, Instant)>,
    /// Targets behind a link with a fault, with its start and its end.
    pub(crate) link_faults: Vec<(String, Instant, Instant)>,
    /// Cuts of the first processes from all targets.
    pub(crate) cuts: Vec<TargetCut>,
    pub(crate) brittle_times: Vec<BrittleTime>,
    /// Registered targets, each until it crashes or drains.
    pub(crate) serving: Vec<ServingTarget>,
    pub(crate) process_ends: Vec<ProcessEnd>,
    /// Paths of the requests that end targets.
    pub(crate) crashing_paths: Vec<String>,
    /// Time from which all valid calls must be served, since the faults are over.
    pub(crate) stable_since: Option<Instant>,
}

impl History {
    /// Returns an empty history that starts now.
    pub(crate) fn begin() -> History {
        History {
            started_at: Instant::now(),
            calls: Vec::new(),
            arrivals: Vec::new(),
            disturbances: Vec::new(),
            keys: Vec::new(),
            added_routes: Vec::new(),
            configuration_losses: Vec::new(),
            store_returns: Vec::new(),
            draining: Vec::new(),
            link_faults: Vec::new(),
            cuts: Vec::new(),
            brittle_times: Vec::new(),
            serving: Vec::new(),
            process_ends: Vec::new(),
            crashing_paths: Vec::new(),
            stable_since: None,
        }
    }

    /// Whether the API key of a call was in force from its start to its end.
    pub(crate) fn has_valid_key(&self, call: &Call) -> bool {
        self.keys.iter().any(|key| {
            key.key == call.request.key
                && key.from + CONFIGURATION_LIMIT < call.sent_at
                && key.until.is_none_or(|until| call.ended_at < until)
        })
    }

    /// Returns a time in seconds after the start of the fault plan.
    pub(crate) fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Whether the route of a call is one that the operator added.
    pub(crate) fn is_on_added_route(&self, call: &Call) -> bool {
        self.added_routes.iter().any(|it| it.name == call.route())
    }

    /// Whether the route of a call was in force from its start to its end.
    pub(crate) fn has_valid_route(&self, call: &Call) -> bool {
        let added = self.added_routes.iter().find(|it| it.name == call.route());
        added.is_none_or(|it| {
            it.from + CONFIGURATION_LIMIT < call.sent_at
                && it.until.is_none_or(|until| call.ended_at < until)
        })
    }

    /// Whether the platform's store has had the newest configuration for the time within which one must
    /// be in force.
    pub(crate) fn is_configuration_settled(&self, at: Instant) -> bool {
        self.configuration_losses.iter().all(|(from, until)| {
            at < *from || until.is_some_and(|until| until + CONFIGURATION_LIMIT < at)
        })
    }

    /// Whether the time limits on the configuration hold for a process between two times.
    pub(crate) fn is_in_contact(&self, process: usize, from: Instant, until: Instant) -> bool {
        let is_of_process = |scope| match scope {
            DisturbanceScope::Process(it) | DisturbanceScope::PlannedRestart(it) => it == process,
            DisturbanceScope::Platform => true,
            DisturbanceScope::Target
            | DisturbanceScope::AllTargets
            | DisturbanceScope::TargetLink => false,
        };
        let is_near =
            |it: &&Disturbance| it.from <= until && it.until + CONFIGURATION_CONTACT_WINDOW >= from;
        !self.disturbances.iter().filter(is_near).any(|it| is_of_process(it.scope))
    }

    /// Whether neither a process nor the platform was disturbed between two times, nor within the
    /// contact window before.
    pub(crate) fn is_process_undisturbed(
        &self,
        process: usize,
        from: Instant,
        until: Instant,
    ) -> bool {
        self.is_undisturbed(from, until, |scope| match scope {
            DisturbanceScope::Process(disturbed) | DisturbanceScope::PlannedRestart(disturbed) => {
                disturbed == process
            }
            DisturbanceScope::Platform => true,
            DisturbanceScope::Target
            | DisturbanceScope::AllTargets
            | DisturbanceScope::TargetLink => false,
        })
    }

    /// Whether a process is in touch with the platform and the targets between two times: neither it
    /// nor a link was disturbed, nor within the contact window before.
    pub(crate) fn is_in_touch(&self, process: usize, from: Instant, until: Instant) -> bool {
        self.is_process_undisturbed(process, from, until)
            && self.is_undisturbed(from, until, |scope| scope == DisturbanceScope::TargetLink)
    }

    /// Whether not all targets had ended between two times, nor within the contact window before.
    pub(crate) fn has_targets(&self, from: Instant, until: Instant) -> bool {
        self.is_undisturbed(from, until, |scope| scope == DisturbanceScope::AllTargets)
    }

    /// Whether a process ran between two times, without a start, and without having been suspended.
    pub(crate) fn keeps_state(&self, process: usize, from: Instant, until: Instant) -> bool {
        !self.disturbances.iter().any(|it| {
            let is_own = match it.scope {
                DisturbanceScope::Process(disturbed)
                | DisturbanceScope::PlannedRestart(disturbed) => disturbed == process,
                _ => false,
            };
            is_own && it.from <= until && it.until >= from
        })
    }

    /// Whether the link to a target had a fault, which may hold data, at some time between two times.
    pub(crate) fn has_link_fault(&self, target: &str, from: Instant, until: Instant) -> bool {
        let mut faults = self.link_faults.iter().filter(|(faulty, ..)| faulty == target);
        faults.any(|(_, start, end)| *start <= until && *end >= from)
    }

    /// Records that a target crashed or drains.
    pub(crate) fn stop_serving(&mut self, target: &str) {
        let now = Instant::now();
        for serving in self.serving.iter_mut().filter(|it| it.target == target) {
            serving.until.get_or_insert(now);
        }
    }

    /// Whether neither a process nor the platform nor a target had a fault between two times, nor
    /// within the contact window before. Planned restarts are not faults.
    pub(crate) fn is_exit_undisturbed(
        &self,
        process: usize,
        from: Instant,
        until: Instant,
    ) -> bool {
        self.is_undisturbed(from, until, |scope| match scope {
            DisturbanceScope::Process(disturbed) => disturbed == process,
            DisturbanceScope::Platform
            | DisturbanceScope::Target
            | DisturbanceScope::AllTargets
            | DisturbanceScope::TargetLink => true,
            DisturbanceScope::PlannedRestart(_) => false,
        })
    }

    /// Whether there were no disturbances but planned restarts between two times, and within the
    /// contact window before.
    pub(crate) fn has_only_planned_restarts(&self, from: Instant, until: Instant) -> bool {
        self.is_undisturbed(from, until, |scope| {
            !matches!(scope, DisturbanceScope::PlannedRestart(_))
        })
    }

    /// Whether there was no disturbance of a scope that `counts` selects. A disturbance lasts until
    /// the contact window after its end.
    pub(crate) fn is_undisturbed(
        &self,
        from: Instant,
        until: Instant,
        counts: impl Fn(DisturbanceScope) -> bool,
    ) -> bool {
        let is_near = |it: &&Disturbance| it.from <= until && it.until + CONTACT_WINDOW >= from;
        !self.disturbances.iter().filter(is_near).any(|it| counts(it.scope))
    }
}
