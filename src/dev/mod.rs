//! A small fleet with stand-ins for the platform, for trials and tests.

mod spec;

pub use spec::fleet_spec;
