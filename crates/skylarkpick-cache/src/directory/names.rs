//! Short numbers for the names of runners and stores.

use std::collections::HashMap;

/// Number of a name in one table.
pub(super) type NameId = u16;

/// Gives each name a number, up to 65,535 of them.
#[derive(Debug, Default)]
pub(super) struct Names {
    names: Vec<String>,
    numbers: HashMap<String, NameId>,
}

impl Names {
    /// The number of a name, new or known; `None` once the numbers have run out.
    pub(super) fn intern(&mut self, name: &str) -> Option<NameId> {
        if let Some(number) = self.numbers.get(name) {
            return Some(*number);
        }
        let number = NameId::try_from(self.names.len()).ok().filter(|number| *number < NONE)?;
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        Some(number)
    }

    pub(super) fn find(&self, name: &str) -> Option<NameId> {
        self.numbers.get(name).copied()
    }

    pub(super) fn name(&self, number: NameId) -> &str {
        self.names.get(usize::from(number)).map_or("", String::as_str)
    }
}

/// Stands for no name.
pub(super) const NONE: NameId = NameId::MAX;
