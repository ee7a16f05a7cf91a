//! Decides where VMs and jobs are placed.
