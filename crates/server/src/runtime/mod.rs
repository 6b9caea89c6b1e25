//! Building blocks without knowledge of requests: time, locks, wake-ups and the log lines that are rate limited.

pub mod addresses;
pub mod alarm;
pub mod clock;
pub mod fault_log;
pub mod lock;
pub mod request_slots;
pub mod summary;
pub mod wait_queue;
