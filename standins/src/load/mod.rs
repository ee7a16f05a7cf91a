//! HTTP load generator for benches: open-loop with bursts, and closed-loop.

mod arrivals;
mod connections;
mod report;
mod run;

pub use arrivals::{Arrivals, Shape};
pub use connections::{Header, LoadRequest};
pub use report::LoadReport;
pub use run::{LoadSpec, run_closed, run_open};
