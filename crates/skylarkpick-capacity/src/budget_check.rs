//! Whether all roles together keep to the budget.

use crate::{
    plan::Budget,
    share::{Implementation, RoleCost},
};
use serde::Serialize;

/// One limit of the budget with what all roles together take of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetCheck {
    /// What is limited.
    pub name: String,
    /// What all roles together take.
    pub taken: f64,
    /// What they may take.
    pub allowed: f64,
}

impl BudgetCheck {
    /// Whether the limit is kept.
    ///
    /// ```
    /// use skylarkpick_capacity::BudgetCheck;
    /// let limit = BudgetCheck { name: "memory".to_string(), taken: f64::INFINITY, allowed: 64e6 };
    /// assert!(!limit.passes());
    /// ```
    pub fn passes(&self) -> bool {
        self.taken <= self.allowed
    }
}

/// Holds the shares of all roles against the budget, in the form that the plan counts on or,
/// with `as_built`, in the form that stands today.
pub fn check_budget(budget: &Budget, shares: &[RoleCost], as_built: bool) -> Vec<BudgetCheck> {
    let counted: Vec<&RoleCost> =
        shares.iter().filter(|share| is_counted(share, as_built)).collect();
    let limit = |name: &str, allowed: f64, figure: fn(&RoleCost) -> f64| BudgetCheck {
        name: name.to_string(),
        taken: counted.iter().map(|share| figure(share)).sum(),
        allowed,
    };
    vec![
        limit("cores of a process", budget.core_share, |share| share.core_share),
        limit("memory of a process, bytes", budget.memory_bytes, |share| share.memory_bytes),
        limit("network of a process, bytes/s", budget.network_bytes_per_second, |share| {
            share.network_bytes_per_second
        }),
        limit("platform, writes/s", budget.platform_writes_per_second, |share| {
            share.platform_writes_per_second
        }),
        limit("platform, reads/s", budget.platform_reads_per_second, |share| {
            share.platform_reads_per_second
        }),
    ]
}

fn is_counted(share: &RoleCost, as_built: bool) -> bool {
    match share.form {
        Implementation::Both => true,
        Implementation::AsBuilt => as_built,
        Implementation::Planned => !as_built,
    }
}
