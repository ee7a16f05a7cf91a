//! Log lines, metrics and the state dump.
