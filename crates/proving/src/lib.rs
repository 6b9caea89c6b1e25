//! Fault tests over many real processes of the program. Each process has an address of its own and reaches the others through relays; a schedule
//! says which processes and links fail, and when. Events of all processes go into one history, which checkers read after the run.
//!
//! Without I/O: [`schedule`] holds faults drawn from a seed or read from a file; [`shrink`] reduces a failing schedule; [`traffic_shaper`]
//! decides when bytes may pass a link; [`check`] and [`linearizability`] verify a history; [`measure`] computes times from it.
//! With I/O: [`relay`], [`process`] and [`cluster`].
//!
//! [`scale`] runs control services with many emulated servers and callers and checks the counts that must not grow with their number.
#![forbid(unsafe_code)]

pub mod check;
pub mod cluster;
pub mod history;
pub mod linearizability;
pub mod measure;
pub mod process;
pub mod relay;
pub mod scale;
pub mod schedule;
pub mod shrink;
pub mod timeline;
pub mod trace_rows;
pub mod traffic_shaper;
