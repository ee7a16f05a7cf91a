//! Fleet capacity and maintenance manager.
//!
//! Callers send requests to entries, which queue them and forward them to targets. Operators
//! change the fleet by publishing sections of one capacity document to the platform's log.
//!
//! The library holds two stacks that are built on different state and share only a few modules.
//! Neither uses the other.
//!
//! Requests and placement of VMs; the daemons and the command in `src/bin` use this stack:
//!
//! - [`entry`]: queues the requests of callers and sends them to targets
//! - [`planner`]: places VMs and jobs, and stops VMs for maintenance
//! - [`ledger`]: records of the replicated log, and the state that they are folded into
//! - [`membership`]: which processes are alive, and which of them owns a queue
//! - [`control`]: the thread that follows the log and publishes the state of the fleet
//! - [`peer`]: messages between the processes of a fleet
//! - [`services`]: traits of the platform's services and HTTP clients for them
//! - [`config`], [`document`], [`finding`], `jsonc`: settings, the capacity document and their
//!   faults
//! - [`id`], [`outcome`], [`secret`], [`view`]: types that these modules share
//! - [`dev`]: a fleet in one process, for development and tests
//!
//! Jobs of tasks; apart from tests, only the crate in `platform/` uses this stack:
//!
//! - [`scheduler`]: places tasks on targets, and moves and maintains VMs; does no I/O
//! - [`dispatch`]: runs the scheduler in a process and does its I/O
//!
//! Both use:
//!
//! - [`http`]: HTTP/1.1 client and server
//! - [`runtime`]: thread pool that runs the tasks serving requests
//! - [`telemetry`]: logging and metrics; its admin server belongs to the first stack
//!
//! Some names therefore stand for a different type in each stack:
//!
//! - `Job`: [`ledger::Job`] runs on one worker at a time; [`scheduler::Job`] has steps of tasks.
//! - `JobState`: [`control::JobState`] is a job with its progress; [`scheduler::JobState`] is only
//!   the state, such as queued or running.
//! - `Record`: [`ledger::Record`] is a proposal with its id; [`scheduler::Record`] has a key, and
//!   replaces earlier records of that key.
//! - `Vm`: both are entries of the platform's VM list; [`services::Vm`] has a class, and
//!   [`scheduler::Vm`] the pool that the VM is in.
//! - Target: [`view::Target`] is a VM in a pool; [`scheduler::TargetEntry`] is an entry in the
//!   platform's list of targets, and [`scheduler::TargetState`] says whether it takes new work.
//! - Scheduler: inside [`entry`] a type that assigns the waiting requests of one pool to its
//!   targets; otherwise the module [`scheduler`].

pub mod config;
pub mod control;
pub mod dev;
pub mod dispatch;
pub mod document;
pub mod entry;
pub mod finding;
pub mod http;
pub mod id;
pub(crate) mod jsonc;
pub mod ledger;
pub mod membership;
pub mod outcome;
pub mod peer;
pub mod planner;
pub mod runtime;
pub mod scheduler;
pub mod secret;
pub mod services;
pub mod telemetry;
pub mod view;
