//! What routers and side processes cost against targets, routers, budgets and request rate.

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
    #[options(help = "print one JSON line a size and one a slope")]
    pub json: bool,
    /// Length of each measurement.
    #[options(meta = "N", default = "8", help = "seconds measured at each size")]
    pub seconds: u64,
    /// Axis to measure.
    #[options(
        meta = "NAME",
        help = "targets, routers, budgets, requests, tokens, edits or processes; each if none"
    )]
    pub axis: Option<Axis>,
}

/// Measures the sizes of each axis and fits lines through them.
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
        println!("{}", sample.line(axis, opts.json));
        samples.push(sample);
    }
    for slope in Slope::all(axis, &samples) {
        println!("{}", slope.line(opts.json));
    }
    Ok(())
}

/// Returns a figure of a sample against its place on an axis.
fn points(axis: Axis, samples: &[Sample], figure: impl Fn(&Sample) -> f64) -> Vec<(f64, f64)> {
    let point = |s: &Sample| (axis.of(&s.size), figure(s));
    samples.iter().map(point).collect()
}
