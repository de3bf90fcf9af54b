//! Checks of the total cost of all roles against the budget.

use crate::{
    plan::Budget,
    role_cost::{Implementation, RoleCost},
};
use serde::Serialize;

/// The total cost of all roles compared with one limit of the budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetCheck {
    /// Name of the limited resource.
    pub name: String,
    /// Total of all roles.
    pub taken: f64,
    /// Limit of the budget.
    pub allowed: f64,
}

impl BudgetCheck {
    /// Returns whether the total is within the limit.
    ///
    /// ```
    /// use skylarkpick_capacity::BudgetCheck;
    /// let check = BudgetCheck { name: "memory".to_string(), taken: f64::INFINITY, allowed: 64e6 };
    /// assert!(!check.passes());
    /// ```
    pub fn passes(&self) -> bool {
        self.taken <= self.allowed
    }
}

/// Checks the total cost of all roles against the budget: with `as_built` for the current
/// implementation, otherwise for the planned one.
pub fn check_budget(budget: &Budget, costs: &[RoleCost], as_built: bool) -> Vec<BudgetCheck> {
    let counted: Vec<&RoleCost> = costs.iter().filter(|cost| applies(cost, as_built)).collect();
    let check = |name: &str, allowed: f64, value: fn(&RoleCost) -> f64| BudgetCheck {
        name: name.to_string(),
        taken: counted.iter().map(|cost| value(cost)).sum(),
        allowed,
    };
    vec![
        check("cores of a process", budget.core_share, |cost| cost.core_share),
        check("memory of a process, bytes", budget.memory_bytes, |cost| cost.memory_bytes),
        check("network of a process, bytes/s", budget.network_bytes_per_second, |cost| {
            cost.network_bytes_per_second
        }),
        check("platform, writes/s", budget.platform_writes_per_second, |cost| {
            cost.platform_writes_per_second
        }),
        check("platform, reads/s", budget.platform_reads_per_second, |cost| {
            cost.platform_reads_per_second
        }),
    ]
}

fn applies(cost: &RoleCost, as_built: bool) -> bool {
    match cost.form {
        Implementation::Both => true,
        Implementation::AsBuilt => as_built,
        Implementation::Planned => !as_built,
    }
}
