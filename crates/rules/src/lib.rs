//! The operators' rules file: one line a rule, each with a comment that names
//! who asked for it.
//!
//! [`Rules`] is what the entry instances act on.

pub mod model;

pub use model::{
    AdapterRule, Admission, Class, Eviction, GroupRule, LimitRule, LimitScope, LoadOrdering,
    LoadsRule, Objective, Placement, Rules, ServiceRule,
};
