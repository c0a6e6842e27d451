//! Sites under traffic with one or two faults at a time. A recorded history of
//! all calls and runs is checked for broken guarantees at the end of each test.

mod faults;
mod graceful_stop;
mod operators;
mod process_site;
mod processes;
mod retries;
mod table;
mod test_site;
mod traffic;
