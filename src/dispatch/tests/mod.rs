//! Tests of decisions that the module keeps to itself.

mod admitting;
