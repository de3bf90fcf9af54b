//! Capacity planning: measures slopes (marginal costs) on one machine and computes from them what
//! each role of an entry process costs at a planned fleet size.

mod budget_check;
mod measures;
mod memory;
mod plan;
mod role_cost;
mod slope;

pub use budget_check::{BudgetCheck, check_budget};
pub use measures::measure_slopes;
pub use plan::{BUDGET, Budget, FleetSize, PLANNED_SIZE};
pub use role_cost::{Implementation, RoleCost, role_costs};
pub use slope::{Slope, Slopes};
