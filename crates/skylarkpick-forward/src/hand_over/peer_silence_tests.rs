//! Tests of the decision that a peer has fallen silent.

use super::peer_silence::PeerSilence;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_millis(250);

/// A look: the time after the one before in milliseconds, and the datagrams received until then.
type Look = (u64, u64);

#[test]
fn a_peer_that_was_heard_or_could_not_be_heard_is_not_silent() {
    struct Case {
        name: &'static str,
        looks: Vec<Look>,
        /// Number of the look that finds it silent, and for how many milliseconds.
        found: Option<(usize, u64)>,
    }
    let cases = [
        Case { name: "never heard", looks: vec![(25, 7); 12], found: Some((9, 250)) },
        Case {
            name: "heard at each fourth look",
            looks: (1..200).map(|look| (25, 7 + look / 4)).collect(),
            found: None,
        },
        Case {
            name: "heard just before the limit",
            looks: [vec![(25, 7); 9], vec![(25, 8); 10]].concat(),
            found: None,
        },
        Case {
            name: "heard once, then not",
            looks: [vec![(25, 8)], vec![(25, 8); 10]].concat(),
            found: Some((10, 250)),
        },
        Case {
            name: "this process was stopped for a second, and reads after it looks",
            looks: vec![(25, 7), (1_000, 7), (25, 7), (25, 9), (25, 9)],
            found: None,
        },
        Case {
            name: "this process looks late each time",
            looks: vec![(90, 7); 6],
            found: Some((4, 250)),
        },
        Case { name: "time stands still", looks: vec![(0, 7); 1_000], found: None },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut silence = PeerSilence::open(LIMIT, now, 7);
        let found = case.looks.iter().enumerate().find_map(|(look, (step_ms, received))| {
            now += Duration::from_millis(*step_ms);
            let silence = silence.look(now, *received)?;
            Some((look, silence.as_millis() as u64))
        });
        assert_eq!(found, case.found, "{}", case.name);
    }
}
