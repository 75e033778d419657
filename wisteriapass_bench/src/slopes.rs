//! Measures the cost of routers and side processes as fleets and their load grow.

mod fit;
mod load;
mod measure;
mod process;
mod sample;
mod size;

use std::process::ExitCode;

use gumdrop::Options;

use fit::Slope;
use measure::measure;
use sample::Sample;
use size::Axis;

/// Options of the `slopes` subcommand.
#[derive(Clone, Debug, Options)]
pub struct SlopesOpts {
    /// Prints help.
    pub help: bool,
    /// Whether to print JSON.
    #[options(help = "print one JSON line per size and per slope")]
    pub json: bool,
    /// Duration of each measurement.
    #[options(meta = "N", default = "8", help = "seconds to measure at each size")]
    pub seconds: u64,
    /// Axis to measure.
    #[options(
        meta = "NAME",
        help = "targets, routers, budgets, requests, tokens, edits or processes; default: each in turn"
    )]
    pub axis: Option<Axis>,
}

/// Measures each axis and fits lines through the samples.
pub fn run(opts: &SlopesOpts) -> ExitCode {
    let axes = match opts.axis {
        Some(axis) => vec![axis],
        None => Axis::ALL.to_vec(),
    };
    for axis in axes {
        if let Err(e) = run_axis(axis, opts) {
            eprintln!("{axis}: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn run_axis(axis: Axis, opts: &SlopesOpts) -> crate::fleet::Result<()> {
    let mut samples = Vec::new();
    for size in axis.sizes() {
        let sample = measure(size, opts.seconds)?;
        println!("{}", sample.to_line(axis, opts.json));
        samples.push(sample);
    }
    for slope in Slope::fit_all(axis, &samples) {
        println!("{}", slope.to_line(opts.json));
    }
    Ok(())
}

/// Returns points of a metric over an axis, one per sample.
fn points(axis: Axis, samples: &[Sample], metric: impl Fn(&Sample) -> f64) -> Vec<(f64, f64)> {
    let point = |s: &Sample| (axis.value(&s.size), metric(s));
    samples.iter().map(point).collect()
}
