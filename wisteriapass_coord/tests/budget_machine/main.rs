//! Random interleavings of routers, transfers, fences, top-ups and lost responses: no budget is
//! overspent and no token is created. Deliberately broken variants must be detected.

#[path = "../common/mod.rs"]
mod common;
mod step;
mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use step::{Step, Variant};
use world::World;

/// Runs the steps; returns the first violation.
fn run_steps(variant: Variant, steps: &[Step]) -> Option<String> {
    let mut world = World::new(variant);
    for (i, step) in steps.iter().enumerate() {
        world.apply(step);
        if let Some(violation) = world.violation() {
            return Some(format!("step {i}: {violation}"));
        }
    }
    None
}

#[test]
fn no_interleaving_overspends_or_creates_tokens() {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        run_steps(Variant::Sound, &steps).map_or(Ok(()), Err)
    }
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(250, 0x0001))
        .tests(300)
        .max_tests(300)
        .quicktest(holds as fn(Vec<Step>) -> Result<(), String>);
    assert!(result.is_ok(), "{result:?}");
}

/// Returns whether some sequence of steps reveals the fault of the variant.
fn is_detected(variant: Variant) -> bool {
    let mut g = Gen::from_size_and_seed(250, 0x0002);
    (0..300).any(|_| run_steps(variant, &Vec::<Step>::arbitrary(&mut g)).is_some())
}

#[test]
fn broken_variants_are_detected() {
    let broken = [
        Variant::ReclaimWhenLeaseLapses,
        Variant::RetireWithoutAllSideProcesses,
        Variant::SettleTwice,
        Variant::SenderIsNotDebited,
        Variant::ResponseAcceptedTwice,
        Variant::LostReportIsRepeated,
        Variant::TopupWithoutId,
    ];
    let missed: Vec<_> = broken.into_iter().filter(|v| !is_detected(*v)).collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
