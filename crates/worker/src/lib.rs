//! Workers: processes that run tasks of the fleet while they hold leases for them (`docs/leases.md`).
//!
//! [`service`] starts a worker. It renews its leases over a [`connection`] to a replica of the lease store, checks their terms
//! before every step, and stops a task when its lease expires. For the task `gather`, [`collection`] selects the next block of a
//! trace file, and [`transfer`] reads it and sends it to the trace store. For the tasks that reply to servers' reports, a step
//! is one round of replies. [`incarnation`] numbers the starts of a worker, and [`config`] holds its configuration.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod collection;
mod collection_tasks;
pub mod config;
pub mod connection;
pub mod incarnation;
mod lease_store_client;
mod report_planner;
pub mod service;
mod store_connection;
mod trace_files;
pub mod transfer;
mod transfer_error;
mod worker;
