//! Runs all scenarios of the repository, and checks that the documentation of the language lists all
//! steps.

use skylarkpick_scenario::{all_steps, find_files, run_file};
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn all_scenarios_give_the_expected_results_and_violate_no_guarantee() {
    let files = find_files(&repository().join("scenarios")).unwrap();
    assert!(!files.is_empty(), "there are no scenarios");
    let mut failed = String::new();
    for file in files {
        let outcome = run_file(&file).unwrap();
        assert!(outcome.steps > 0, "{} has no step", file.display());
        let is_checked = outcome.trace.contains("judge\nevery promise held\n");
        if !outcome.passed() || !is_checked {
            failed.push_str(&format!("{}\n{outcome:#?}\n", file.display()));
        }
    }
    assert!(failed.is_empty(), "{failed}");
}

#[test]
fn the_documentation_shows_the_synopsis_of_each_step() {
    let page = std::fs::read_to_string(repository().join("docs/SCENARIOS.md")).unwrap();
    for step in all_steps() {
        let usage = step.usage().replace("|", "\\|");
        assert!(page.contains(&usage), "docs/SCENARIOS.md lacks `{}`", step.usage());
    }
}
