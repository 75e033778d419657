//! Commands that run one stand-in as a process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use wisteriapass_bench::standin::{
    Engine, EngineSettings, Platform, PlatformSettings, Service, ServiceSettings,
};

/// Options of `platform`.
#[derive(Debug, Options)]
pub struct PlatformOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7100")]
    listen: String,
    #[options(help = "milliseconds by which the VM list lags", default = "1000")]
    vm_lag_ms: u64,
    #[options(help = "bytes of a model's weights", default = "1048576")]
    weight_bytes: u64,
    #[options(help = "bytes a second of the weight store", default = "16777216")]
    weight_rate: u64,
    #[options(help = "seed of lost answers", default = "1")]
    seed: u64,
}

impl PlatformOptions {
    /// Runs the platform's stand-in for ever.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn run(&self) -> io::Result<()> {
        let mut platform = Platform::start(&PlatformSettings {
            listen: parse(&self.listen)?,
            vm_lag_ms: self.vm_lag_ms,
            weight_bytes: self.weight_bytes,
            weight_rate: self.weight_rate,
            seed: self.seed,
        })?;
        println!("listening {}", platform.addr());
        platform.wait();
        Ok(())
    }
}

/// Options of `engine`.
#[derive(Debug, Options)]
pub struct EngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7200")]
    listen: String,
    #[options(help = "milliseconds to the first token", default = "20")]
    first_token_ms: u64,
    #[options(help = "milliseconds from token to token", default = "5")]
    token_ms: u64,
    #[options(help = "requests at once", default = "16")]
    slots: usize,
    #[options(help = "model loaded at the start, repeatable; without, any is served")]
    model: Vec<String>,
    #[options(help = "take orders with an old fencing token too")]
    ignore_fencing: bool,
    #[options(help = "address of the weight store")]
    weights: Option<String>,
}

impl EngineOptions {
    /// Runs an engine's stand-in for ever.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn run(&self) -> io::Result<()> {
        let mut engine = Engine::start(EngineSettings {
            listen: parse(&self.listen)?,
            time_to_first_token: Duration::from_millis(self.first_token_ms),
            time_per_token: Duration::from_millis(self.token_ms),
            slots: self.slots,
            models: self.model.clone(),
            checks_fencing: !self.ignore_fencing,
            weight_store: self.weights.as_deref().map(parse).transpose()?,
            ..EngineSettings::default()
        })?;
        println!("listening {}", engine.addr());
        engine.wait();
        Ok(())
    }
}

/// Options of `service`.
#[derive(Debug, Options)]
pub struct ServiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7300")]
    listen: String,
    #[options(help = "milliseconds that a call takes", default = "5")]
    call_ms: u64,
}

impl ServiceOptions {
    /// Runs a plain service's stand-in for ever.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn run(&self) -> io::Result<()> {
        let mut service = Service::start(&ServiceSettings {
            listen: parse(&self.listen)?,
            call_ms: self.call_ms,
        })?;
        println!("listening {}", service.addr());
        service.wait();
        Ok(())
    }
}

/// Reads an address such as `127.0.0.1:7100`.
fn parse(text: &str) -> io::Result<SocketAddr> {
    text.parse()
        .map_err(|e| io::Error::other(format!("{text}: {e}; give an IP number and a port")))
}
