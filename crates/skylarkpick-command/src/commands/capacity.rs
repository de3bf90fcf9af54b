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

/// Measures per-unit costs and computes the resource use of each role at the planned fleet size.
pub(crate) struct CapacityCommand;

impl Command for CapacityCommand {
    fn name(&self) -> &'static str {
        "capacity"
    }

    fn summary(&self) -> &'static str {
        "Measure per-unit costs and compute the resource use at the planned fleet size"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optflag("", "json", "print the result as one JSON document");
        options.optflag(
            "",
            "plan",
            "print the planned fleet size and its budget without measuring",
        );
        Signature { usage: "[--json] [--plan]".to_string(), options, ..Signature::empty() }
    }

    fn description(&self) -> &'static str {
        "Measures on this machine the cost of one more unit of each load (bytes, processor time, \
         messages) and computes from it the resource use of each role in one entry process at the \
         planned fleet size, against its budget. Exits with 1 if the system as built exceeds a \
         budget. Takes about half a minute; use a release build."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "Print the planned fleet size without measuring",
            arguments: &["--plan"],
            exit: Exit::Success,
            expected_output: "360 entry processes",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        if matches.opt_present("plan") {
            console.print(&plan_summary());
            return Ok(Exit::Success);
        }
        let slopes =
            measure_slopes(|subject| console.print_message(&format!("measuring {subject}")));
        let shares = role_costs(&PLANNED_SIZE, &slopes);
        let planned = check_budget(&BUDGET, &shares, false);
        let as_built = check_budget(&BUDGET, &shares, true);
        if matches.opt_present("json") {
            let document = json!({"slopes": slopes, "shares": shares, "planned": planned, "as_built": as_built});
            console.print(&serde_json::to_string_pretty(&document)?);
        } else {
            print_costs(&slopes, &shares, console);
            print_limits("as built", &as_built, console);
            print_limits("as planned", &planned, console);
        }
        let within_budget = as_built.iter().all(BudgetCheck::passes);
        Ok(if within_budget { Exit::Success } else { Exit::Failed })
    }
}

fn plan_summary() -> String {
    format!(
        "{} entry processes in {} data centres for {} runners; {} requests and {} tokens per \
         second; {} repeated prompts; {} client accounts; {} models\ncontrol budget of each \
         process: {} of a core, {} bytes of memory, {} bytes per second",
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

fn print_costs(slopes: &Slopes, shares: &[RoleCost], console: &mut Console) {
    console.print("| slope | value | unit | measured over |\n|---|---|---|---|");
    for slope in slopes.0.values() {
        let value = format_number(slope.value);
        console.print(&format!("| {} | {value} | {} | {} |", slope.name, slope.unit, slope.method));
    }
    console.print(
        "\n| role | state | memory bytes | cores | bytes/s | messages/s | platform writes/s | \
         platform reads/s |\n|---|---|---|---|---|---|---|---|",
    );
    for share in shares {
        let figures: Vec<String> = share.figures().into_iter().map(format_number).collect();
        console.print(&format!("| {} | {} | {} |", share.role, share.state, figures.join(" | ")));
    }
}

fn print_limits(form: &str, limits: &[BudgetCheck], console: &mut Console) {
    console.print(&format!(
        "\n| budget, {form} | computed | allowed | within budget |\n|---|---|---|---|"
    ));
    for limit in limits {
        let (taken, allowed) = (format_number(limit.taken), format_number(limit.allowed));
        let within_budget = if limit.passes() { "yes" } else { "NO" };
        console.print(&format!("| {} | {taken} | {allowed} | {within_budget} |", limit.name));
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
