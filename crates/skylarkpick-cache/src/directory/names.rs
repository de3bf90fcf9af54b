//! Interning of the names of runners, stores and client accounts.

use std::collections::HashMap;

/// Id of a name in one table.
pub(super) type NameId = u16;

/// Assigns ids to up to 65,535 names.
#[derive(Debug, Default)]
pub(super) struct Names {
    names: Vec<String>,
    ids: HashMap<String, NameId>,
}

impl Names {
    /// Returns the id of a name, and assigns one to a new name. Returns `None` if no id is left.
    pub(super) fn intern(&mut self, name: &str) -> Option<NameId> {
        if let Some(id) = self.ids.get(name) {
            return Some(*id);
        }
        let id = NameId::try_from(self.names.len()).ok().filter(|id| *id < NO_NAME)?;
        self.names.push(name.to_string());
        self.ids.insert(name.to_string(), id);
        Some(id)
    }

    pub(super) fn find(&self, name: &str) -> Option<NameId> {
        self.ids.get(name).copied()
    }

    pub(super) fn name(&self, id: NameId) -> &str {
        self.names.get(usize::from(id)).map_or("", String::as_str)
    }
}

/// Id that is never assigned to a name.
pub(super) const NO_NAME: NameId = NameId::MAX;
