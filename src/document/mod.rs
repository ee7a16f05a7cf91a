//! The capacity document: model, parsing and validation.

mod model;

pub use model::{
    Access, Budgets, Class, DataCentreSpec, Document, Fleet, Kind, OnStale, PoolSpec, PublicKey,
    QueueSpec, Service, Team, TeamKey,
};
