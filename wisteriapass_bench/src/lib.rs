mod digest;
pub mod fleet;
pub mod link;
pub mod load;
pub mod loads;
pub mod standin;

pub use digest::sha256_hex;
