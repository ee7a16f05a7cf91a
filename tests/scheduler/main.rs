//! The scheduler against a platform in virtual time.

mod faults;
mod fixtures;
mod jobs;
mod target;
mod upkeep;
mod world;
