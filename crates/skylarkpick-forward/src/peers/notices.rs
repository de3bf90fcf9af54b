//! Applies the notices of other entry processes.

use super::messages::{Notice, StreamRecord};
use crate::{log::request_log, node_state::NodeState};
use skylarkpick_schedule::{MemorySample, ReportSource};
use std::time::Duration;

impl NodeState {
    /// Applies a notice that was sent `age` ago.
    pub(crate) fn apply_notice(&self, notice: Notice, age: Duration) {
        match notice {
            Notice::Swapping { target, model, weight_version } => {
                request_log!("target is about to swap its weights", kv: {
                    target = target.as_str(), model = model.as_str(), weight_version,
                });
                self.note_swapping(&target, &model, weight_version);
            }
            Notice::Loads { loads } => {
                for load in loads {
                    let sample =
                        MemorySample { used_tokens: load.used_tokens, waiting: load.waiting };
                    self.observe_memory(&load.target, sample, age);
                }
            }
            Notice::StreamsBegan { streams } => {
                for StreamRecord { stream, origin } in streams {
                    self.note_stream(stream, origin, false);
                }
            }
            Notice::Limits { limits, brittle, uses, ended } => {
                limits.iter().for_each(|limit| self.merge_limit(limit));
                brittle.iter().for_each(|notice| self.merge_brittle(notice, age));
                uses.iter().for_each(|notice| self.merge_brittle_use(notice, age));
                ended.iter().for_each(|notice| self.merge_ended(notice, age));
            }
            Notice::Crashes { report } => {
                self.merge_crashes(&report, "another entry process", ReportSource::Process);
            }
        }
    }
}
