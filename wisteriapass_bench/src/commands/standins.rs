//! Subcommands that run a stand-in as a process of its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use wisteriapass_bench::standin::{
    Engine, EngineSettings, Platform, PlatformSettings, Service, ServiceSettings,
};

/// Options of the `platform` subcommand.
#[derive(Debug, Options)]
pub struct PlatformOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7100")]
    listen: String,
    #[options(help = "delay of the VM list in milliseconds", default = "1000")]
    vm_lag_ms: u64,
    #[options(help = "size of the weights of a model in bytes", default = "1048576")]
    weight_bytes: u64,
    #[options(
        help = "throughput of the weight store in bytes per second",
        default = "16777216"
    )]
    weight_rate: u64,
    #[options(help = "random seed for lost answers", default = "1")]
    seed: u64,
}

impl PlatformOptions {
    /// Runs the platform stand-in; does not return after a successful start.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid or cannot be bound.
    pub fn run(&self) -> io::Result<()> {
        let mut platform = Platform::start(&PlatformSettings {
            listen: parse_addr(&self.listen)?,
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

/// Options of the `engine` subcommand.
#[derive(Debug, Options)]
pub struct EngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7200")]
    listen: String,
    #[options(help = "time to the first token in milliseconds", default = "20")]
    first_token_ms: u64,
    #[options(help = "time between tokens in milliseconds", default = "5")]
    token_ms: u64,
    #[options(help = "maximum number of concurrent requests", default = "16")]
    slots: usize,
    #[options(help = "model loaded at startup, repeatable; any model is served if omitted")]
    model: Vec<String>,
    #[options(help = "also accept orders with a stale fencing token")]
    ignore_fencing: bool,
    #[options(help = "address of the weight store")]
    weights: Option<String>,
}

impl EngineOptions {
    /// Runs the engine stand-in; does not return after a successful start.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid or cannot be bound.
    pub fn run(&self) -> io::Result<()> {
        let mut engine = Engine::start(EngineSettings {
            listen: parse_addr(&self.listen)?,
            time_to_first_token: Duration::from_millis(self.first_token_ms),
            time_per_token: Duration::from_millis(self.token_ms),
            slots: self.slots,
            models: self.model.clone(),
            checks_fencing: !self.ignore_fencing,
            weight_store: self.weights.as_deref().map(parse_addr).transpose()?,
            ..EngineSettings::default()
        })?;
        println!("listening {}", engine.addr());
        engine.wait();
        Ok(())
    }
}

/// Options of the `service` subcommand.
#[derive(Debug, Options)]
pub struct ServiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7300")]
    listen: String,
    #[options(help = "duration of a call in milliseconds", default = "5")]
    call_ms: u64,
}

impl ServiceOptions {
    /// Runs the plain service stand-in; does not return after a successful start.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid or cannot be bound.
    pub fn run(&self) -> io::Result<()> {
        let mut service = Service::start(&ServiceSettings {
            listen: parse_addr(&self.listen)?,
            call_ms: self.call_ms,
        })?;
        println!("listening {}", service.addr());
        service.wait();
        Ok(())
    }
}

/// Parses a socket address such as `127.0.0.1:7100`.
fn parse_addr(text: &str) -> io::Result<SocketAddr> {
    text.parse().map_err(|e| {
        io::Error::other(format!(
            "invalid address {text}: {e}; expected an IP address and a port"
        ))
    })
}
