//! Experiments on the real path, with daemons as child processes.

pub mod drive;
pub mod overhead;
pub mod quickstart;
