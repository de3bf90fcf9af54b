//! Soak tests with random faults against the real binary: a short run, and the seeds that failed
//! before.

use std::process::Command;

/// A seed that failed before.
struct Regression {
    seed: &'static str,
    seconds: &'static str,
    /// Cause of the failure.
    cause: &'static str,
}

/// Runs one seed; returns the output and whether all checks passed.
fn run_soak(seed: &str, seconds: &str) -> (String, bool) {
    let output = Command::new(env!("CARGO_BIN_EXE_skylarkpick"))
        .args(["soak", "--seed", seed, "--seconds", seconds, "--processes", "3"])
        .output();
    match output {
        Ok(output) => {
            let text = [output.stdout, output.stderr].concat();
            (String::from_utf8_lossy(&text).to_string(), output.status.success())
        }
        Err(error) => (error.to_string(), false),
    }
}

#[test]
fn a_short_soak_has_no_findings() {
    let (output, passed) = run_soak("101", "10");
    assert!(passed, "{output}");
}

#[test]
fn previously_failing_seeds_pass() {
    let cases = [
        Regression {
            seed: "4",
            seconds: "10",
            cause: "a kill was recorded when the supervisor noticed it, later than the clients did",
        },
        Regression {
            seed: "8",
            seconds: "12",
            cause: "SIGTERM to a process that had just exited was attributed to its successor",
        },
        Regression {
            seed: "11003",
            seconds: "12",
            cause: "writes after a return of the store from a copy were taken for older than known",
        },
        Regression {
            seed: "11004",
            seconds: "12",
            cause: "a request that ended each target that ran it was sent to one after another",
        },
        Regression {
            seed: "58230",
            seconds: "10",
            cause: "a late copy of a rejection answered the next send, and promises that no target made \
                    were passed on",
        },
    ];
    let runs = cases.map(|case| {
        std::thread::spawn(move || {
            let (output, passed) = run_soak(case.seed, case.seconds);
            assert!(passed, "seed {} failed again ({}): {output}", case.seed, case.cause);
        })
    });
    for run in runs {
        assert!(run.join().is_ok(), "a seed failed, see above");
    }
}
