//! The proving ground (`docs/proving.md`): starts many real processes of the program, each on an address of its own, puts links of its own between them,
//! and makes both fail as a schedule says. All that happened goes into one history, which checkers read afterwards.
//!
//! [`schedule`] says what fails when, drawn from a seed or written by hand; [`shrink`] cuts a failing one down; [`traffic_shaper`] decides when bytes may pass a
//! link; [`check`] and [`linearizability`] judge a history, [`measure`] reads times off it. None of these does I/O. [`relay`], [`process`] and [`cluster`] do.
//!
//! [`scale`] starts control services with many servers and callers round them, and holds them to what must not grow.
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
