//! The platform's client against the platform's stand-in.

mod document;
mod faults;
mod key_value;
mod outside;
mod support;
