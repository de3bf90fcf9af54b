//! Records that this process retains for others, or receives from them: the platform's store may have
//! lost them.

use super::records::{FleetRecords, RecordOrigin, UpdateKind};
use super::topic_state::TopicState;
use skylarkpick_interface::{FleetRecord, FleetTopic, NamedRecord};

impl FleetRecords {
    /// Returns what the platform may have lost and later processes need: the desired weights, and the
    /// serving document if it is newer than a version.
    pub(crate) fn retained(&self, serving_version: Option<u64>) -> Vec<NamedRecord> {
        let topics = self.topics();
        let states = [FleetTopic::Serving, FleetTopic::Weights].map(|topic| topics.get(&topic));
        let records = states.into_iter().flatten().flat_map(TopicState::records);
        let is_newer = |record: &FleetRecord| match record {
            FleetRecord::Serving(document) => {
                serving_version.is_none_or(|version| document.version > version)
            }
            record => matches!(record, FleetRecord::Weights(_)),
        };
        let newer = records.filter(|(_, record)| is_newer(record));
        let named = |(name, record): (&String, &FleetRecord)| NamedRecord {
            name: name.clone(),
            record: Some(record.clone()),
        };
        newer.map(named).collect()
    }

    /// Returns the version of the serving document.
    pub(super) fn serving_version(&self) -> Option<u64> {
        self.node_state.serving().map(|serving| serving.version())
    }

    /// Applies what another process retains, as far as it is newer than known and its topic has been
    /// read.
    pub(crate) fn apply_retained(&self, retained: &[NamedRecord]) {
        for topic in [FleetTopic::Serving, FleetTopic::Weights] {
            let of_topic = retained.iter().filter(|named| {
                matches!(
                    (&named.record, topic),
                    (Some(FleetRecord::Serving(_)), FleetTopic::Serving)
                        | (Some(FleetRecord::Weights(_)), FleetTopic::Weights)
                )
            });
            let of_topic: Vec<NamedRecord> = of_topic.cloned().collect();
            let _applying = self.lock_applying();
            let (changed, revision) = {
                let mut topics = self.topics();
                let state = topics.entry(topic).or_default();
                if !state.is_read() {
                    continue;
                }
                (state.merge_retained(&of_topic), state.revision)
            };
            // Another process may have known them for long.
            let origin = RecordOrigin {
                revision,
                kind: UpdateKind::Changes,
                is_first_read: true,
                not_before: None,
            };
            for named in &changed {
                if let Some(FleetRecord::Serving(document)) = &named.record {
                    self.node_state.newest_version.note(document.version);
                }
                spdlog::info!("record that another process retains applied", kv: {
                    topic:, name = named.name.as_str(), revision:,
                });
                self.apply(topic, named, origin);
            }
            if !changed.is_empty() {
                self.changes.send_modify(|count| *count += 1);
            }
        }
    }
}
