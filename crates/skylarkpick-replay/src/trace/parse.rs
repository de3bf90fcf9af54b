//! Reads and writes trace files.

use super::{
    Trace,
    lines::{Fault, FaultKind, Header, Line, RequestLine, TraceRequest},
};
use crate::generate::generate_trace;
use std::{collections::BTreeMap, time::Duration};

/// Supported version of the trace format.
const FORMAT_VERSION: u32 = 1;

/// Error in a trace file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TraceError {
    /// A line is invalid.
    #[error("line {line}: {message}")]
    Line {
        /// Line number, from 1.
        line: usize,
        /// Description of the error.
        message: String,
    },
    /// A required part of the trace is missing.
    #[error("{0}")]
    Incomplete(String),
}

/// Collects the lines of a trace file.
#[derive(Default)]
struct TraceBuilder {
    header: Option<Header>,
    trace: Option<Trace>,
    requests: Vec<TraceRequest>,
    /// Arrival of the last request, by account and prefix.
    last_use: BTreeMap<(String, String), Duration>,
}

/// Parses a trace in the JSON Lines format of docs/TRACES.md.
///
/// # Errors
/// Returns the number of the first invalid line, or the part that is missing.
pub fn parse_trace(text: &str) -> Result<Trace, TraceError> {
    let mut builder = TraceBuilder::default();
    for (index, line) in text.lines().enumerate() {
        let content = line.trim();
        if content.is_empty() {
            continue;
        }
        let fail = |message: String| TraceError::Line { line: index + 1, message };
        let line: Line = serde_json::from_str(content).map_err(|error| fail(error.to_string()))?;
        builder.add_line(line).map_err(fail)?;
    }
    builder.finish()
}

/// Parses the fault lines of a file. Its other lines must be valid, but are ignored.
///
/// # Errors
/// Returns the number of the first invalid line.
pub fn parse_faults(text: &str) -> Result<Vec<Fault>, TraceError> {
    let mut faults = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let fail = |message: String| TraceError::Line { line: index + 1, message };
        let line: Line = serde_json::from_str(line).map_err(|error| fail(error.to_string()))?;
        if let Line::Fault(fault) = line {
            check_fault(&fault).map_err(fail)?;
            faults.push(fault);
        }
    }
    Ok(faults)
}

/// Formats a trace as a trace file. A generated trace is written as the parameters of its generator.
pub fn write_trace(trace: &Trace) -> String {
    let header = Header {
        format: FORMAT_VERSION,
        name: trace.name.clone(),
        description: trace.description.clone(),
    };
    let mut lines = vec![Line::Trace(header)];
    match trace.generated {
        Some(generated) => lines.push(Line::Generated(generated)),
        None => {
            lines.push(Line::Fleet(trace.fleet.clone()));
            lines.extend(trace.requests.iter().map(|request| Line::Request(request_line(request))));
            lines.extend(trace.faults.iter().cloned().map(Line::Fault));
        }
    }
    lines.extend(trace.outcomes.iter().cloned().map(Line::Outcome));
    let json_lines = lines.iter().map(|line| serde_json::to_string(line).unwrap_or_default());
    json_lines.fold(String::new(), |text, line| text + &line + "\n")
}

impl TraceBuilder {
    fn add_line(&mut self, line: Line) -> Result<(), String> {
        match line {
            Line::Trace(header) => self.set_header(header),
            _ if self.header.is_none() => {
                Err("the first line must be {\"trace\": ...}".to_string())
            }
            Line::Fleet(fleet) => {
                check_fleet(&fleet)?;
                self.trace_mut().fleet = fleet;
                Ok(())
            }
            Line::Generated(generated) => {
                let generated_trace =
                    generate_trace(generated.fleet, generated.kind, generated.seed);
                let trace = self.trace_mut();
                trace.fleet = generated_trace.fleet;
                trace.generated = Some(generated);
                trace.faults.extend(generated_trace.faults);
                self.requests.extend(generated_trace.requests);
                Ok(())
            }
            Line::Request(request) => self.add_request(request),
            Line::Fault(fault) => {
                check_fault(&fault)?;
                self.trace_mut().faults.push(fault);
                Ok(())
            }
            Line::Outcome(outcome) => {
                self.trace_mut().outcomes.push(outcome);
                Ok(())
            }
        }
    }

    fn set_header(&mut self, header: Header) -> Result<(), String> {
        if header.format != FORMAT_VERSION {
            return Err(format!(
                "format {} is not supported; expected {FORMAT_VERSION}",
                header.format
            ));
        }
        if self.header.replace(header).is_some() {
            return Err("the trace has more than one header line".to_string());
        }
        Ok(())
    }

    fn trace_mut(&mut self) -> &mut Trace {
        let header = self.header.clone();
        self.trace.get_or_insert_with(|| Trace {
            name: header.as_ref().map(|header| header.name.clone()).unwrap_or_default(),
            description: header.map(|header| header.description).unwrap_or_default(),
            fleet: crate::generate::empty_fleet(),
            generated: None,
            requests: Vec::new(),
            faults: Vec::new(),
            outcomes: Vec::new(),
        })
    }

    fn add_request(&mut self, line: RequestLine) -> Result<(), String> {
        let key = (line.account.clone(), line.prefix.clone());
        let at_ms = match (line.at_ms, line.gap_ms) {
            (Some(at_ms), None) => at_ms,
            (None, Some(gap_ms)) => {
                let last = self.last_use.get(&key).copied().unwrap_or_default();
                last.as_secs_f64() * 1_000.0 + gap_ms
            }
            _ => return Err("a request needs either at_ms or gap_ms".to_string()),
        };
        if !(at_ms.is_finite() && (0.0..1e12).contains(&at_ms)) {
            return Err(format!("at_ms is {at_ms}; expected a time from 0 to below 1e12"));
        }
        let at = Duration::from_micros((at_ms * 1_000.0).round() as u64);
        self.last_use.insert(key, at);
        let fleet_model = self.trace_mut().fleet.model.clone();
        self.requests.push(TraceRequest {
            at,
            account: line.account,
            model: line.model.unwrap_or(fleet_model),
            prefix: line.prefix,
            prefix_tokens: line.prefix_tokens,
            question_tokens: line.question_tokens.max(1),
            answer_tokens: line.answer_tokens.max(1),
            repeatable: line.repeatable,
            data_centre: line.data_centre,
        });
        Ok(())
    }

    fn finish(mut self) -> Result<Trace, TraceError> {
        let missing = |what: &str| Err(TraceError::Incomplete(format!("the trace has no {what}")));
        let Some(mut trace) = self.trace.take() else { return missing("lines after its header") };
        if trace.fleet.runners() == 0 {
            return missing("fleet line, or its fleet has no runner");
        }
        if self.requests.is_empty() {
            return missing("requests");
        }
        self.requests.sort_by_key(|request| request.at);
        trace.requests = self.requests;
        trace.faults.sort_by_key(|fault| fault.at_ms);
        Ok(trace)
    }
}

fn check_fleet(fleet: &super::fleet::Fleet) -> Result<(), String> {
    if fleet.entries() == 0 {
        return Err("the fleet has no entry process".to_string());
    }
    let positive = [
        ("prefill_tokens_per_second", fleet.prefill_tokens_per_second),
        ("slots", f64::from(fleet.slots)),
        ("load_report_interval_ms", fleet.load_report_interval_ms as f64),
        ("context_bytes_per_token", fleet.context_bytes_per_token as f64),
    ];
    match positive.iter().find(|(_, value)| !(value.is_finite() && *value > 0.0)) {
        Some((field, value)) => Err(format!("fleet.{field} is {value}; expected more than 0")),
        None => Ok(()),
    }
}

fn check_fault(fault: &Fault) -> Result<(), String> {
    let needs_target = matches!(
        fault.kind,
        FaultKind::StoreDown | FaultKind::RunnerDown | FaultKind::DataCentreCut
    );
    if needs_target && fault.target.is_none() {
        return Err("the fault has no target".to_string());
    }
    if fault.kind == FaultKind::SlowLink && !fault.factor.is_some_and(|factor| factor > 0.0) {
        return Err("slow_link needs a factor above 0".to_string());
    }
    if fault.kind == FaultKind::LateReports && fault.age_ms.is_none() {
        return Err("late_reports needs age_ms".to_string());
    }
    Ok(())
}

fn request_line(request: &TraceRequest) -> RequestLine {
    RequestLine {
        at_ms: Some(request.at.as_micros() as f64 / 1_000.0),
        gap_ms: None,
        account: request.account.clone(),
        model: Some(request.model.clone()),
        prefix: request.prefix.clone(),
        prefix_tokens: request.prefix_tokens,
        question_tokens: request.question_tokens,
        answer_tokens: request.answer_tokens,
        repeatable: request.repeatable,
        data_centre: request.data_centre.clone(),
    }
}
