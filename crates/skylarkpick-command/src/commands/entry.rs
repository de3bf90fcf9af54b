//! `skylarkpick entry`.

use super::check::{fault_lines, read_document};
use crate::{
    command::{Command, Example, Exit, Signature, WrongUse},
    console::Console,
};
use anyhow::Context;
use getopts::Matches;
use skylarkpick_config::{Secret, Settings, parse_settings};
use skylarkpick_entry::{Entry, EntryParts, Front, ResumeKey};
use skylarkpick_http::{HttpConnector, HttpPlatform};
use skylarkpick_interface::{BootClock, NoPeers};
use std::{sync::Arc, time::Duration};
use tokio::signal::unix::{SignalKind, signal};

/// Runs an entry process.
pub(crate) struct EntryCommand;

impl Command for EntryCommand {
    fn name(&self) -> &'static str {
        "entry"
    }

    fn summary(&self) -> &'static str {
        "Run an entry process"
    }

    fn signature(&self) -> Signature {
        Signature {
            usage: "SETTINGS-FILE".to_string(),
            arguments_floor: 1,
            arguments_limit: 1,
            ..Signature::plain()
        }
    }

    fn description(&self) -> &'static str {
        "Runs an entry process until SIGTERM or SIGINT, then finishes every answer under way and \
         exits. The settings file is JSON with comments."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "A settings file that does not exist is wrong use",
                arguments: &["no-such-file.jsonc"],
                exit: Exit::WrongUse,
                shows: "",
            },
            Example {
                description: "Settings that contradict each other are wrong use",
                arguments: &["crates/skylarkpick-config/tests/wrong/contradiction.jsonc"],
                exit: Exit::WrongUse,
                shows: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let settings = read_settings(&matches.free[0])?;
        let runtime = tokio::runtime::Runtime::new().context("no runtime could be started")?;
        runtime.block_on(serve(settings, console))
    }
}

fn read_settings(path: &str) -> anyhow::Result<Settings> {
    let text = read_document(path)?;
    let settings = parse_settings(&text).map_err(|faults| WrongUse(fault_lines(path, &faults)))?;
    Ok(settings)
}

async fn serve(mut settings: Settings, console: &mut Console) -> anyhow::Result<Exit> {
    if settings.entry_id.is_empty() {
        settings.entry_id = format!("entry-{:016x}", rand::random::<u64>());
    }
    let resume_key = match &settings.resume_key {
        Some(source) => source.read().map_err(|error| WrongUse(error.to_string()))?,
        None => Secret::open(rand::random::<[u8; 32]>()),
    };
    let platform_timeout = Duration::from_millis(settings.limits.platform_timeout_ms);
    let platform = HttpPlatform::open(&settings.platform_address, platform_timeout);
    let entry = Entry::spawn(EntryParts {
        platform: Arc::new(platform),
        connector: Arc::new(HttpConnector::open()),
        peers: NoPeers::open(),
        clock: Arc::new(BootClock),
        resume_key: Some(ResumeKey::from_secret(resume_key.expose())),
        seed: rand::random(),
        settings,
    });
    let front = Front::bind(entry).await.context("the HTTP address cannot be taken")?;
    console.message(&format!("listening on {}", front.address()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    console.message("draining");
    let whole = front.shutdown().await;
    Ok(if whole { Exit::Success } else { Exit::Failed })
}
