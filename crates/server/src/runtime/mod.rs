//! Utilities that know nothing about requests: clock, locks, wake-ups, counters and rate-limited logging.

pub mod addresses;
pub mod alarm;
pub mod clock;
pub mod fault_log;
pub mod lock;
pub mod request_slots;
pub mod summary;
pub mod wait_queue;
