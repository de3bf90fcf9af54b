//! What processes tell each other of their requests at brittle targets: those beyond their places, and
//! that a target has turned one away.

use crate::{
    forwarding::milliseconds, log::request_log, node_state::NodeState, peers::BrittleUseNotice,
};
use skylarkpick_interface::TargetId;
use std::{collections::BTreeMap, time::Duration};

/// Age up to which another process's word that a target turned a request away counts.
const REJECTION_LIFETIME: Duration = Duration::from_secs(1);

impl NodeState {
    /// Applies what another process said `age` ago of its requests at a brittle target, and has requests
    /// that wait placed again if it has fewer than before.
    pub(crate) fn merge_brittle_use(&self, notice: &BrittleUseNotice, age: Duration) {
        let BrittleUseNotice { target, started_at_ms, entry, under_way, is_rejected } = notice;
        let now = self.now();
        let mut state = self.lock();
        let is_change = under_way.is_some_and(|under_way| {
            state.placement.note_excess(target, *started_at_ms, entry, under_way, now)
        });
        let is_rejected = *is_rejected && age < REJECTION_LIFETIME;
        if is_rejected {
            state.placement.note_rejection_elsewhere(target, *started_at_ms, age, now);
        }
        drop(state);
        if is_change || is_rejected {
            request_log!("requests of another entry process at a brittle target", kv: {
                target = target.as_str(),
                entry = entry.as_str(),
                beyond_places = under_way.unwrap_or_default(),
                is_rejected,
                age_ms = milliseconds(age),
            });
        }
        self.note_capacity_changed();
    }

    /// Has other processes told that a brittle target turned a request of this one away.
    pub(crate) fn tell_rejection(&self, target: &TargetId, started_at_ms: u64) {
        self.lock().untold_rejections.insert((target.clone(), started_at_ms));
        self.brittle_rejected.notify_one();
        self.limits_changed.notify_one();
    }

    /// Takes what other processes are to be told now of the requests of this one at brittle targets.
    pub(crate) fn take_brittle_uses(&self) -> Vec<BrittleUseNotice> {
        let now = self.now();
        let mut state = self.lock();
        let entry = state.placement.own_entry().clone();
        let mut uses: BTreeMap<(TargetId, u64), BrittleUseNotice> = BTreeMap::new();
        let open = |target: TargetId, started_at_ms, under_way, is_rejected| BrittleUseNotice {
            target,
            started_at_ms,
            entry: entry.clone(),
            under_way,
            is_rejected,
        };
        for (target, started_at_ms) in std::mem::take(&mut state.untold_rejections) {
            let notice = open(target.clone(), started_at_ms, None, true);
            uses.insert((target, started_at_ms), notice);
        }
        for (target, started_at_ms, under_way) in state.placement.take_excesses_to_tell(now) {
            uses.entry((target.clone(), started_at_ms))
                .or_insert_with(|| open(target, started_at_ms, None, false))
                .under_way = Some(under_way);
        }
        uses.into_values().collect()
    }
}
