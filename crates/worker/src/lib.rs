//! Workers: processes that run tasks of the fleet for as long as the lease store grants them (`docs/leases.md`). [`service`] is the process: it renews its
//! leases over a [`connection`] to a replica of the lease store, looks at their terms before every step, and stands down when one is over. For the task
//! `gather`, [`collection`] decides which block of which trace file comes next, and [`transfer`] reads it and sends it to the trace store. For the tasks that
//! answer servers' reports, a step is one round of answers. [`incarnation`] numbers the starts of a worker, and [`config`] is what it is told at its start.
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
