//! Where gathered traces land. Owners of the parts of the duty `gather` bring sealed files of the servers block by block; the archive takes each
//! block once, in order, and nothing of an owner whose epoch has been overtaken. [`core`] decides without I/O; [`store`] keeps what was decided and the block in
//! one transaction; [`serve`] listens; [`export`] writes traces of it.
#![forbid(unsafe_code)]

pub mod core;
pub mod export;
pub mod serve;
pub mod store;
pub mod words;
