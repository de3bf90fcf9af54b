//! The configuration at the planned size: its bytes, and the time to take it over.

use super::timing::seconds_each;
use crate::{memory::bytes_each, plan::PLANNED, slope::Slopes};
use skylarkpick_config::{
    Account, Configuration, ConfigurationRecord, DataCentre, Model, Patch, RunnerTarget, Serving,
    apply_patch, decode_record, encode_record, hash_token, validate,
};

/// A configuration of the planned size.
pub(super) fn planned_configuration() -> Configuration {
    let mut configuration = Configuration::default();
    configuration.serving.insert("ordinary".to_string(), Serving::default());
    for index in 0..PLANNED.accounts as usize {
        let token_hashes = vec![hash_token(&format!("token-{index}"))];
        let account = Account { token_hashes, ..Account::default() };
        configuration.accounts.insert(format!("account-{index:03}"), account);
    }
    for index in 0..PLANNED.models as usize {
        let model = Model {
            weight_version: 1,
            also_served_weight_versions: Vec::new(),
            adapters: Vec::new(),
            serving: "ordinary".to_string(),
            context_bytes_per_token: 131_072,
        };
        configuration.models.insert(format!("model-{index}"), model);
    }
    for centre in 0..PLANNED.data_centres as usize {
        configuration.data_centres.insert(format!("dc-{centre}"), data_centre(centre));
    }
    configuration
}

fn data_centre(centre: usize) -> DataCentre {
    let mut targets = DataCentre { region: format!("region-{}", centre % 2), ..Default::default() };
    for index in 0..PLANNED.runners_per_centre() as usize {
        let runner = RunnerTarget {
            address: format!("10.{centre}.{}.{}:7000", index / 250, index % 250 + 1),
            model: format!("model-{}", index % PLANNED.models as usize),
            checks_fencing: true,
        };
        targets.runners.insert(format!("dc-{centre}-runner-{index:03}"), runner);
    }
    targets
}

pub(super) fn measure(slopes: &mut Slopes) {
    let configuration = planned_configuration();
    let record = ConfigurationRecord { version: 1, history: Vec::new(), configuration };
    let bytes = bytes_each(20, |_| record.clone());
    slopes.note("configuration memory", bytes, "bytes", "20 copies at the planned size");
    let text = serde_json::to_vec(&record).unwrap_or_default();
    slopes.note("configuration size", text.len() as f64, "bytes", "JSON at the planned size");
    let packed = encode_record(&record).unwrap_or_default();
    let method = "deflated JSON at the planned size, as peers send it";
    slopes.note("configuration packed", packed.len() as f64, "bytes", method);
    let time = seconds_each(|| encode_record(&record).map(|packed| packed.len()));
    slopes.note("configuration packing time", time, "s", method);
    let time = seconds_each(|| {
        decode_record(&packed).ok().map(|record| validate(&record.configuration).len())
    });
    slopes.note(
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
    let time = seconds_each(|| apply_patch(&record, &patch).is_ok());
    slopes.note("patch time", time, "s", "apply and validate at the planned size");
}
