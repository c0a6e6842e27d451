//! The platform client against the platform stand-in.

mod document;
mod faults;
mod instances_and_weights;
mod key_value;
mod support;
