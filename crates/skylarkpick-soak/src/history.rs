//! What was disturbed when, and what the operator changed.

use skylarkpick_platform_standin::{Arrival, ClientRequest, ClientResponse};
use std::time::Duration;
use tokio::time::Instant;

/// Time without disturbance after which time bounds hold for a process. The users' pages name it the
/// contact window.
pub(crate) const CONTACT_WINDOW: Duration = Duration::from_secs(4);

/// What kind of request a call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    /// It may run more than once.
    Read,
    /// It may run once at most.
    Write,
    /// A stream that may go on at another target.
    Events,
}

impl CallKind {
    pub(crate) const ALL: [CallKind; 3] = [CallKind::Read, CallKind::Write, CallKind::Events];

    /// Name of its route.
    pub(crate) fn route(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Write => "write",
            CallKind::Events => "events",
        }
    }

    /// Runs that its route allows.
    pub(crate) fn attempts(self) -> u32 {
        match self {
            CallKind::Read | CallKind::Events => 2,
            CallKind::Write => 1,
        }
    }
}

/// One call of a client.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) process: usize,
    pub(crate) kind: CallKind,
    pub(crate) request: ClientRequest,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) answer: ClientResponse,
    /// Whether the client left before its time was over.
    pub(crate) has_left: bool,
}

/// What is disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Disturbed {
    /// A process, or its way to the platform.
    Process(usize),
    /// A process that is asked to end, until it has started again.
    Planned(usize),
    /// The platform, for every process.
    Platform,
    /// A target, or the way to it.
    Target,
}

/// A span in which something is disturbed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    pub(crate) what: Disturbed,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// A key that was held for a while.
#[derive(Clone, Debug)]
pub(crate) struct HeldKey {
    pub(crate) key: String,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

/// How a process ended.
#[derive(Clone, Debug)]
pub(crate) struct ProcessEnd {
    pub(crate) process: usize,
    pub(crate) at: Instant,
    /// When it was asked to.
    pub(crate) terminated: Option<Instant>,
    /// When it was killed.
    pub(crate) killed: Option<Instant>,
    pub(crate) is_success: bool,
}

/// All that was seen of a seed.
#[derive(Clone, Debug)]
pub(crate) struct History {
    /// When its faults began; what is told of calls counts from there.
    pub(crate) began: Instant,
    pub(crate) calls: Vec<Call>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) disturbances: Vec<Disturbance>,
    pub(crate) keys: Vec<HeldKey>,
    /// Targets that left, with the time at which the platform said so.
    pub(crate) leaving: Vec<(String, Instant)>,
    pub(crate) ends: Vec<ProcessEnd>,
    /// From here on every proper call is served.
    pub(crate) calm_since: Option<Instant>,
}

impl History {
    /// A history in which nothing has happened yet.
    pub(crate) fn begin() -> History {
        History {
            began: Instant::now(),
            calls: Vec::new(),
            arrivals: Vec::new(),
            disturbances: Vec::new(),
            keys: Vec::new(),
            leaving: Vec::new(),
            ends: Vec::new(),
            calm_since: None,
        }
    }

    /// Whether a process was in touch all through a span: undisturbed, itself and the platform, from
    /// the contact window before it on.
    pub(crate) fn is_in_touch(&self, process: usize, from: Instant, until: Instant) -> bool {
        self.is_undisturbed(from, until, |what| match what {
            Disturbed::Process(disturbed) | Disturbed::Planned(disturbed) => disturbed == process,
            Disturbed::Platform => true,
            Disturbed::Target => false,
        })
    }

    /// Whether a process that ends had nothing else to bear.
    pub(crate) fn is_end_undisturbed(&self, process: usize, from: Instant, until: Instant) -> bool {
        self.is_undisturbed(from, until, |what| match what {
            Disturbed::Process(disturbed) => disturbed == process,
            Disturbed::Platform | Disturbed::Target => true,
            Disturbed::Planned(_) => false,
        })
    }

    /// Whether nothing but planned work went on.
    pub(crate) fn is_planned_only(&self, from: Instant, until: Instant) -> bool {
        self.is_undisturbed(from, until, |what| !matches!(what, Disturbed::Planned(_)))
    }

    fn is_undisturbed(
        &self,
        from: Instant,
        until: Instant,
        counts: impl Fn(Disturbed) -> bool,
    ) -> bool {
        let is_near = |it: &&Disturbance| it.from <= until && it.until + CONTACT_WINDOW >= from;
        !self.disturbances.iter().filter(is_near).any(|it| counts(it.what))
    }
}
