//! Shares of prepaid totals never exceed the total, across partitions, kills and late writes.

mod carried;
mod fleet;
mod grants;
mod loans;
mod outstanding;
mod rationing;
mod requests_during_writes;
mod shares;
mod support;
mod totals;
mod witnesses;
