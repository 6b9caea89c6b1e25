//! puffinladder's decisions on real sockets. `docs/server.md` tells what owns what.
#![forbid(unsafe_code)]

mod clock;
mod desk;
mod life;
mod limits;
mod lock;
mod memory;
mod txn;
mod wire;

pub use life::papers::Options;
pub use life::run;
