//! Measures slopes on one machine and works out each role's share at a planned size.

mod limit;
mod measures;
mod memory;
mod plan;
mod share;
mod slope;

pub use limit::{BudgetCheck, check_budget};
pub use measures::measure_slopes;
pub use plan::{BUDGET, Budget, FleetSize, PLANNED_SIZE};
pub use share::{Implementation, RoleCost, role_costs};
pub use slope::{Slope, Slopes};
