//! `skylarkpick replay`.

use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
    console::Console,
};
use getopts::{Matches, Options};
use skylarkpick_replay::{
    FleetName, PolicyName, ReplayOptions, Trace, TraceKind, generate_trace, html_report,
    parse_faults, parse_trace, replay_trace, text_table, write_trace,
};
use std::path::{Path, PathBuf};

/// Replays traces and checks their expected outcomes.
pub(crate) struct ReplayCommand;

impl Command for ReplayCommand {
    fn name(&self) -> &'static str {
        "replay"
    }

    fn summary(&self) -> &'static str {
        "Replay traces in virtual time and check their expected outcomes"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "policy", "policy whose outcomes are checked", "NAME");
        options.optmulti("", "baseline", "policy to compare with (default: all)", "NAME");
        options.optmulti("", "fault", "add the fault lines of this file to every trace", "FILE");
        options.optflag("", "json", "print the result as one JSON document");
        options.optopt("", "report", "write an HTML report with plots", "FILE");
        options.optopt(
            "",
            "generate",
            "print a generated trace instead: bantay, viti or planned",
            "FLEET",
        );
        options.optopt("", "kind", "kind of the generated trace (default: ordinary)", "KIND");
        options.optopt("", "seed", "seed of the generated trace (default: 1)", "N");
        options.optflag("", "expand", "list every request of the generated trace");
        Signature {
            usage: "TRACE... [--policy NAME] [--baseline NAME] [--fault FILE] [--json]".to_string(),
            options,
            min_arguments: 0,
            max_arguments: usize::MAX,
        }
    }

    fn description(&self) -> &'static str {
        "Replays traces (files, or folders of .jsonl files) in virtual time with the routing and \
         saving code of the entry processes, and compares the results with baseline policies and \
         lower bounds. Exits with 1 if an expected outcome is not met. With --generate, prints a \
         trace that is generated from a seed. docs/TRACES.md describes the format."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "Print a generated trace",
                arguments: &["--generate", "bantay", "--kind", "surge", "--seed", "3"],
                exit: Exit::Success,
                expected_output: "\"kind\":\"surge\",\"seed\":3",
            },
            Example {
                description: "A missing trace is a usage error",
                arguments: &["no-such-trace.jsonl"],
                exit: Exit::UsageError,
                expected_output: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        if let Some(fleet) = matches.opt_str("generate") {
            console.print(generate(&fleet, matches)?.trim_end());
            return Ok(Exit::Success);
        }
        if matches.free.is_empty() {
            return Err(UsageError("missing argument TRACE".to_string()).into());
        }
        let options = replay_options(matches)?;
        let traces = read_traces(matches)?;
        let mut replays = Vec::new();
        for trace in &traces {
            console.print_message(&format!("replaying {}", trace.name));
            replays.push(replay_trace(trace, &options));
        }
        if let Some(path) = matches.opt_str("report") {
            std::fs::write(&path, html_report(&replays)?)?;
        }
        if matches.opt_present("json") {
            console.print(&serde_json::to_string_pretty(&replays)?);
        } else {
            console.print(text_table(&replays).trim_end());
        }
        let holds = replays.iter().all(skylarkpick_replay::ReplayReport::all_hold);
        Ok(if holds { Exit::Success } else { Exit::Failed })
    }
}

fn generate(fleet: &str, matches: &Matches) -> anyhow::Result<String> {
    let fleet = find_named(&FleetName::ALL, "fleet", fleet)?;
    let kind = matches.opt_str("kind").unwrap_or_else(|| "ordinary".to_string());
    let kind = find_named(&TraceKind::ALL, "kind", &kind)?;
    let seed = matches
        .opt_get_default("seed", 1_u64)
        .map_err(|error| UsageError(format!("--seed: {error}")))?;
    let mut trace = generate_trace(fleet, kind, seed);
    if matches.opt_present("expand") {
        trace.generated = None;
    }
    Ok(write_trace(&trace))
}

/// Returns the value with the given name from a list of known names.
fn find_named<T: Copy>(all: &[(&str, T)], what: &str, name: &str) -> anyhow::Result<T> {
    let known: Vec<&str> = all.iter().map(|(known, _)| *known).collect();
    let found = all.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    let message = || format!("unknown {what} {name:?}; expected one of {}", known.join(", "));
    Ok(found.ok_or_else(|| UsageError(message()))?)
}

fn replay_options(matches: &Matches) -> anyhow::Result<ReplayOptions> {
    let mut options = ReplayOptions::default();
    if let Some(name) = matches.opt_str("policy") {
        options.policy = find_named(&PolicyName::ALL, "policy", &name)?;
    }
    let names = matches.opt_strs("baseline");
    if !names.is_empty() {
        let baselines = names.iter().map(|name| find_named(&PolicyName::ALL, "policy", name));
        options.baselines = baselines.collect::<anyhow::Result<_>>()?;
    }
    Ok(options)
}

fn read_traces(matches: &Matches) -> anyhow::Result<Vec<Trace>> {
    let mut faults = Vec::new();
    for path in matches.opt_strs("fault") {
        let found = parse_faults(&read_file(Path::new(&path))?);
        faults.extend(found.map_err(|error| UsageError(format!("{path}: {error}")))?);
    }
    let mut traces = Vec::new();
    for path in trace_files(&matches.free)? {
        let trace = parse_trace(&read_file(&path)?);
        let mut trace =
            trace.map_err(|error| UsageError(format!("{}: {error}", path.display())))?;
        trace.faults.extend(faults.iter().cloned());
        traces.push(trace);
    }
    Ok(traces)
}

/// Returns the given files, and the `.jsonl` files of the given folders sorted by name.
fn trace_files(names: &[String]) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for name in names {
        let path = PathBuf::from(name);
        if !path.is_dir() {
            files.push(path);
            continue;
        }
        let entries = std::fs::read_dir(&path)?.collect::<Result<Vec<_>, _>>()?;
        let is_trace = |path: &PathBuf| path.extension().is_some_and(|end| end == "jsonl");
        let mut found: Vec<PathBuf> =
            entries.into_iter().map(|entry| entry.path()).filter(is_trace).collect();
        found.sort();
        files.extend(found);
    }
    Ok(files)
}

fn read_file(path: &Path) -> anyhow::Result<String> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| UsageError(format!("failed to read {}: {error}", path.display())))?;
    Ok(text)
}
