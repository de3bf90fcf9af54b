//! Chooses between a known record and one that was found in the platform's store, which may have come
//! back from an older copy.

use skylarkpick_interface::{DesiredWeights, FleetRecord, RegisteredTarget};

/// Versions whose times are kept for each model. Older ones have long been out of use.
const VERSIONS_LIMIT: usize = 8;

/// The newer one of two records.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct NewestRecord {
    pub(super) record: Option<FleetRecord>,
    /// Whether it is the known one, and its version is newer than the found one.
    pub(super) is_known: bool,
}

/// Returns whether a record has a version that never goes back. Such a record stays in force when it is
/// removed or can't be read.
pub(super) fn is_versioned(record: &FleetRecord) -> bool {
    matches!(record, FleetRecord::Serving(_) | FleetRecord::Weights(_))
}

/// Returns the newer one of a known and a found record. Only versions of the configuration and of
/// weights tell; of other records, the found one counts. Known times of weights are kept.
pub(super) fn newest_record(
    known: Option<&FleetRecord>,
    found: Option<&FleetRecord>,
) -> NewestRecord {
    match (known, found) {
        (Some(FleetRecord::Serving(known)), Some(FleetRecord::Serving(found)))
            if known.version > found.version =>
        {
            NewestRecord { record: Some(FleetRecord::Serving(known.clone())), is_known: true }
        }
        (Some(FleetRecord::Weights(known)), Some(FleetRecord::Weights(found))) => {
            let is_known = known.weight_version > found.weight_version;
            let newest = if is_known { known } else { found };
            let mut times = found.desired_since_ms.clone();
            times.extend(known.desired_since_ms.range(..=known.weight_version));
            while times.len() > VERSIONS_LIMIT {
                times.pop_first();
            }
            let newest = DesiredWeights { desired_since_ms: times, ..newest.clone() };
            NewestRecord { record: Some(FleetRecord::Weights(newest)), is_known }
        }
        (Some(known), None | Some(FleetRecord::Unreadable(_))) if is_versioned(known) => {
            NewestRecord { record: Some(known.clone()), is_known: true }
        }
        (_, found) => NewestRecord { record: found.cloned(), is_known: false },
    }
}

/// Returns whether a record of a target shows an earlier state than the known one: an earlier start,
/// or older weights of the same start.
pub(super) fn is_earlier(found: &RegisteredTarget, known: &RegisteredTarget) -> bool {
    if found.started_at_ms != known.started_at_ms {
        return found.started_at_ms < known.started_at_ms;
    }
    let has_older = |(model, version): (&String, &u64)| {
        known.weights.get(model).is_some_and(|known| version < known)
    };
    found.weights.iter().any(has_older)
}
