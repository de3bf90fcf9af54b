//! What two entry processes tell each other about a request that one hands over to the other.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header of a request with its [`HandOverTerms`].
const TERMS: HeaderName = HeaderName::from_static("skylarkpick-hand-over");
/// Header of a response with a [`Refusal`].
const REFUSAL: HeaderName = HeaderName::from_static("skylarkpick-refusal");
/// Shortest interval between heartbeats that a process is held to.
const HEARTBEAT_INTERVAL_FLOOR: Duration = Duration::from_millis(50);
/// Intervals without a heartbeat after which a process counts as gone: three lost ones in a row don't
/// show that, and a run ends within 400 ms of the end of its process.
const SILENT_INTERVALS: u32 = 5;
/// Headers of a client's request that concern its connection or the framing of its body.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// State of a request when it is handed over.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HandOverTerms {
    /// Time since it arrived at the process that hands it over.
    pub(crate) elapsed_ms: u64,
    /// Version of the serving document that it was checked against.
    pub(crate) serving_version: u64,
    /// Attempts that may have reached a target.
    pub(crate) sends: u32,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// Whether it has been counted as a first attempt in the retry budget.
    pub(crate) is_counted: bool,
    /// Interval at which the process that hands it over shows that it lives, while the request is under
    /// way. A process of an earlier version names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) heartbeat_interval_ms: Option<u64>,
}

/// Why a process doesn't take a request that is handed over. It has not run and will not run there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// It serves enough requests of others, or ends soon.
    Busy,
    /// The targets of the service are brittle, and it may not send the request to them in time either.
    NoPlace,
    /// It reaches no target of the service either.
    CutOff,
    /// Its serving document is older than the one that the request was checked against.
    Outdated,
}

impl HandOverTerms {
    /// Returns the terms of a request that arrived so long ago.
    pub(crate) fn open(elapsed: Duration, serving_version: u64) -> HandOverTerms {
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        HandOverTerms { elapsed_ms, serving_version, ..HandOverTerms::default() }
    }

    /// Returns the time for which the process that hands the request over has had it.
    pub(crate) fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed_ms)
    }

    /// Returns the silence after which the process that hands the request over counts as gone; `None` if
    /// it has not promised heartbeats.
    pub(crate) fn silence_limit(&self) -> Option<Duration> {
        let interval =
            Duration::from_millis(self.heartbeat_interval_ms?).max(HEARTBEAT_INTERVAL_FLOOR);
        Some(interval * SILENT_INTERVALS)
    }

    /// Returns the headers of a client's request with the terms, whatever the client sent in their
    /// place.
    pub(crate) fn add_to(&self, client_headers: &HeaderMap) -> HeaderMap {
        let mut headers = client_headers.clone();
        for name in CONNECTION_HEADERS {
            headers.remove(name);
        }
        // Each stream carries one request.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        headers.remove(TERMS);
        // Numbers always serialize, to valid header text.
        let text = serde_json::to_string(self).unwrap_or_default();
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(TERMS, value);
        }
        headers
    }

    /// Removes the terms from the headers of a request that is handed over. `None` if there are none
    /// that can be read.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<HandOverTerms> {
        let value = headers.remove(TERMS)?;
        serde_json::from_slice(value.as_bytes()).ok()
    }
}

impl Refusal {
    const ALL: [Refusal; 4] = [Refusal::Busy, Refusal::CutOff, Refusal::NoPlace, Refusal::Outdated];

    /// Returns the text for headers and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Refusal::Busy => "busy",
            Refusal::CutOff => "cut-off",
            Refusal::NoPlace => "no-place",
            Refusal::Outdated => "outdated",
        }
    }

    pub(crate) fn write(self, headers: &mut HeaderMap) {
        headers.insert(REFUSAL, HeaderValue::from_static(self.name()));
    }

    /// Removes what looks like a refusal from the headers of a target's response.
    pub(crate) fn remove(headers: &mut HeaderMap) {
        headers.remove(REFUSAL);
    }

    /// Returns the refusal in the head of a response, if it is one.
    pub(crate) fn read(status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
        let value = headers.get(REFUSAL)?;
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        // A refusal for a reason that is not known here is one all the same.
        Some(Refusal::ALL.into_iter().find(|it| *value == it.name()).unwrap_or(Refusal::Busy))
    }
}
