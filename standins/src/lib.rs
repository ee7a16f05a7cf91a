//! Stand-ins for the platform.
