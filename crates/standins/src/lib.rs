//! Stand-ins of the platform and the targets, and the load tool.

pub mod load;
