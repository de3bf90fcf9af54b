//! `skylarkpick capacity`.

use crate::{
    command::{Command, Example, Exit, Signature},
    console::Console,
};
use getopts::{Matches, Options};
use serde_json::json;
use skylarkpick_capacity::{
    BUDGET, BudgetCheck, PLANNED_SIZE, RoleCost, Slopes, check_budget, measure_slopes, role_costs,
};

/// Measures slopes and works out each role's share at the planned size.
pub(crate) struct CapacityCommand;

impl Command for CapacityCommand {
    fn name(&self) -> &'static str {
        "capacity"
    }

    fn summary(&self) -> &'static str {
        "Measure slopes here and work out the planned size from them"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optflag("", "json", "print the result as one JSON document");
        options.optflag("", "plan", "print the planned size and its budget, and measure nothing");
        Signature { usage: "[--json] [--plan]".to_string(), options, ..Signature::plain() }
    }

    fn description(&self) -> &'static str {
        "Measures what one more of each thing costs on this machine (bytes, processor time, \
         messages) and works out what each role takes in one entry process at the planned size, \
         against its budget. Exits with 1 if what stands today breaks a budget. Takes about half a minute; use a \
         release build."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "Print the planned size without measuring",
            arguments: &["--plan"],
            exit: Exit::Success,
            shows: "360 entry processes",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        if matches.opt_present("plan") {
            console.result(&describe_plan());
            return Ok(Exit::Success);
        }
        let slopes = measure_slopes(|subject| console.message(&format!("measuring {subject}")));
        let shares = role_costs(&PLANNED_SIZE, &slopes);
        let planned = check_budget(&BUDGET, &shares, false);
        let as_built = check_budget(&BUDGET, &shares, true);
        if matches.opt_present("json") {
            let document = json!({"slopes": slopes, "shares": shares, "planned": planned, "as_built": as_built});
            console.result(&serde_json::to_string_pretty(&document)?);
        } else {
            print(&slopes, &shares, console);
            print_limits("as built", &as_built, console);
            print_limits("as planned", &planned, console);
        }
        let held = as_built.iter().all(BudgetCheck::passes);
        Ok(if held { Exit::Success } else { Exit::Failed })
    }
}

fn describe_plan() -> String {
    format!(
        "{} entry processes in {} data centres before {} runners; {} requests and {} tokens a \
         second; {} returning prompts; {} client accounts; {} models\nfor control, each process: \
         {} of a core, {} bytes of memory, {} bytes a second",
        PLANNED_SIZE.entries,
        PLANNED_SIZE.data_centres,
        PLANNED_SIZE.runners,
        PLANNED_SIZE.requests_per_second,
        PLANNED_SIZE.tokens_per_second,
        PLANNED_SIZE.prompts,
        PLANNED_SIZE.accounts,
        PLANNED_SIZE.models,
        BUDGET.core_share,
        BUDGET.memory_bytes,
        BUDGET.network_bytes_per_second,
    )
}

fn print(slopes: &Slopes, shares: &[RoleCost], console: &mut Console) {
    console.result("| slope | value | unit | measured over |\n|---|---|---|---|");
    for slope in slopes.0.values() {
        let value = format_number(slope.value);
        console
            .result(&format!("| {} | {value} | {} | {} |", slope.name, slope.unit, slope.method));
    }
    console.result(
        "\n| role | state | memory bytes | cores | bytes/s | messages/s | platform writes/s | \
         platform reads/s |\n|---|---|---|---|---|---|---|---|",
    );
    for share in shares {
        let figures: Vec<String> = share.figures().into_iter().map(format_number).collect();
        console.result(&format!("| {} | {} | {} |", share.role, share.state, figures.join(" | ")));
    }
}

fn print_limits(form: &str, limits: &[BudgetCheck], console: &mut Console) {
    console
        .result(&format!("\n| budget, {form} | worked out | allowed | kept |\n|---|---|---|---|"));
    for limit in limits {
        let (taken, allowed) = (format_number(limit.taken), format_number(limit.allowed));
        let kept = if limit.passes() { "yes" } else { "NO" };
        console.result(&format!("| {} | {taken} | {allowed} | {kept} |", limit.name));
    }
}

fn format_number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_string(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.3e}"),
    }
}
