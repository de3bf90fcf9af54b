//! `patch`: an operator patches the configuration.

use super::{Step, started_simulation};
use crate::{
    arguments::{Arguments, bad_argument},
    error::StepError,
    simulation::Simulation,
};
use async_trait::async_trait;
use skylarkpick_config::{Patch, PatchError, PatchOutcome};

/// Name of the operator who sends patches.
const OPERATOR: &str = "operator";

/// An operator patches the configuration by the JSON merge patch in the lines below the step.
pub(super) struct PatchStep;

#[async_trait(?Send)]
impl Step for PatchStep {
    fn name(&self) -> &'static str {
        "patch"
    }

    fn usage(&self) -> &'static str {
        "patch id=ID entry=PROCESS base=VERSION"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let patch_id: String = arguments.take("id", "a name")?;
        let process: String = arguments.take("entry", "an entry process")?;
        let base_version = arguments.take("base", "a version")?;
        let input = arguments.input.clone();
        arguments.finish()?;
        let change = serde_json::from_str(&input)
            .map_err(|error| bad_argument("patch", &input, &error.to_string()))?;
        let patch = Patch { patch_id, base_version, change };
        let outcome = simulation.entry(&process)?.entry.patch(&patch, OPERATOR).await;
        if let PatchOutcome::Accepted(version) = outcome {
            simulation.configurations.record_accepted(version);
        }
        Ok(describe(&outcome))
    }
}

fn describe(outcome: &PatchOutcome) -> String {
    match outcome {
        PatchOutcome::Accepted(version) => format!("accepted as version {version}\n"),
        PatchOutcome::Refused(PatchError::VersionConflict { base, current }) => {
            format!("refused: made against {base}, current is {current}\n")
        }
        PatchOutcome::Refused(PatchError::Invalid(faults)) => format!("refused:\n{faults}\n"),
        PatchOutcome::NotSent(_) => "not sent\n".to_string(),
        PatchOutcome::Unknown(_) => "unknown\n".to_string(),
    }
}
