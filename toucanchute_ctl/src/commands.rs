mod budgets;
mod check;
mod compare;
mod configuration;
mod fleet;

pub(crate) use budgets::{statement, top_up, write_off};
pub(crate) use check::{check_folder, check_settings};
pub(crate) use compare::compare;
pub(crate) use configuration::{apply_folder, diff_platform};
pub(crate) use fleet::{hosts, order, status};
