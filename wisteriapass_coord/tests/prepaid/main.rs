//! Shares of prepaid totals: never more than the total, over cuts, kills and late writes.

mod carried;
mod grants;
mod loans;
mod rationing;
mod shares;
mod support;
mod witnesses;
