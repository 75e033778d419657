//! Experiments with real daemons, run as child processes.

pub mod drive;
pub mod overhead;
pub mod quickstart;
