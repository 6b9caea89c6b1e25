//! What is kept in memory: the txns in hand, and the keys and results of referenced ones.

pub mod book;
pub mod counts;
pub mod hands;
pub mod keys;
