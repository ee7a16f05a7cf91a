//! Tests of failure detection and of the ranking of queue owners.

mod failure_detector;
mod rank;
