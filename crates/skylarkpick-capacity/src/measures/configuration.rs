//! Size of the configuration of the planned fleet, and the time to pack, apply and patch it.

use super::timing::mean_seconds;
use crate::{memory::mean_bytes, plan::PLANNED_SIZE, slope::Slopes};
use skylarkpick_config::{
    Account, Configuration, ConfigurationRecord, DataCentre, Model, Patch, RunnerTarget, Serving,
    apply_patch, decode_record, encode_record, hash_token, validate,
};

/// Returns a configuration of the planned fleet size.
pub(super) fn planned_configuration() -> Configuration {
    let mut configuration = Configuration::default();
    configuration.serving.insert("ordinary".to_string(), Serving::default());
    for index in 0..PLANNED_SIZE.accounts as usize {
        let token_hashes = vec![hash_token(&format!("token-{index}"))];
        let account = Account { token_hashes, ..Account::default() };
        configuration.accounts.insert(format!("account-{index:03}"), account);
    }
    for index in 0..PLANNED_SIZE.models as usize {
        let model = Model {
            weight_version: 1,
            also_served_weight_versions: Vec::new(),
            adapters: Vec::new(),
            serving: "ordinary".to_string(),
            context_bytes_per_token: 131_072,
        };
        configuration.models.insert(format!("model-{index}"), model);
    }
    for number in 0..PLANNED_SIZE.data_centres as usize {
        configuration.data_centres.insert(format!("dc-{number}"), data_centre(number));
    }
    configuration
}

fn data_centre(number: usize) -> DataCentre {
    let mut targets = DataCentre { region: format!("region-{}", number % 2), ..Default::default() };
    for index in 0..PLANNED_SIZE.runners_per_data_centre() as usize {
        let runner = RunnerTarget {
            address: format!("10.{number}.{}.{}:7000", index / 250, index % 250 + 1),
            model: format!("model-{}", index % PLANNED_SIZE.models as usize),
            checks_fencing: true,
        };
        targets.runners.insert(format!("dc-{number}-runner-{index:03}"), runner);
    }
    targets
}

pub(super) fn measure(slopes: &mut Slopes) {
    let configuration = planned_configuration();
    let record = ConfigurationRecord { version: 1, history: Vec::new(), configuration };
    let bytes = mean_bytes(20, |_| record.clone());
    slopes.record("configuration memory", bytes, "bytes", "20 copies at the planned size");
    let text = serde_json::to_vec(&record).unwrap_or_default();
    slopes.record("configuration size", text.len() as f64, "bytes", "JSON at the planned size");
    let packed = encode_record(&record).unwrap_or_default();
    let method = "deflated JSON at the planned size, as peers send it";
    slopes.record("configuration packed", packed.len() as f64, "bytes", method);
    let time = mean_seconds(|| encode_record(&record).map(|packed| packed.len()));
    slopes.record("configuration packing time", time, "s", method);
    let time = mean_seconds(|| {
        decode_record(&packed).ok().map(|record| validate(&record.configuration).len())
    });
    slopes.record(
        "configuration take-over time",
        time,
        "s",
        "unpack, read and validate at the planned size",
    );
    let patch = Patch {
        patch_id: "p".to_string(),
        base_version: 1,
        change: serde_json::json!({"serving": {"ordinary": {"recompute_weight": 0.5}}}),
    };
    let time = mean_seconds(|| apply_patch(&record, &patch).is_ok());
    slopes.record("patch time", time, "s", "apply and validate at the planned size");
}
