//! A short soak of the real program, and the seeds that ever failed.

use std::process::Command;

/// A seed that failed once.
struct Regression {
    seed: &'static str,
    seconds: &'static str,
    /// What the cause was.
    cause: &'static str,
}

/// Plays one seed; gives the program's output and whether all held.
fn play(seed: &str, seconds: &str) -> (String, bool) {
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
fn a_short_soak_finds_nothing() {
    let (text, holds) = play("101", "10");
    assert!(holds, "{text}");
}

#[test]
fn seeds_that_failed_once_hold() {
    let cases = [
        Regression {
            seed: "4",
            seconds: "10",
            cause: "the judge saw a kill only when the supervisor did, after the clients",
        },
        Regression {
            seed: "8",
            seconds: "12",
            cause: "SIGTERM to a process that had just ended counted for the next one",
        },
    ];
    let players = cases.map(|case| {
        std::thread::spawn(move || {
            let (text, holds) = play(case.seed, case.seconds);
            assert!(holds, "seed {} again ({}): {text}", case.seed, case.cause);
        })
    });
    for player in players {
        assert!(player.join().is_ok(), "a seed failed, see above");
    }
}
