//! The scheduler against a platform in virtual time.

mod faults;
mod fixtures;
mod jobs;
mod lapsed;
mod target;
mod upkeep;
mod world;
