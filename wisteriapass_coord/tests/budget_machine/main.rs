//! Random interleavings of routers, transfers, fences, top-ups and lost answers: no budget is
//! overspent and no token is created; named broken variants are seen to fail.

#[path = "../common/mod.rs"]
mod common;
mod step;
mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use step::{Step, Variant};
use world::World;

/// Plays the steps; returns the first fault.
fn play(variant: Variant, steps: &[Step]) -> Option<String> {
    let mut world = World::new(variant);
    for (i, step) in steps.iter().enumerate() {
        world.apply(step);
        if let Some(fault) = world.fault() {
            return Some(format!("step {i}: {fault}"));
        }
    }
    None
}

#[test]
fn no_interleaving_overspends_or_creates_money() {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        play(Variant::Sound, &steps).map_or(Ok(()), Err)
    }
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(250, 0x0001))
        .tests(300)
        .max_tests(300)
        .quicktest(holds as fn(Vec<Step>) -> Result<(), String>);
    assert!(result.is_ok(), "{result:?}");
}

/// Returns whether some sequence of steps shows the variant's fault.
fn is_found(variant: Variant) -> bool {
    let mut g = Gen::from_size_and_seed(250, 0x0002);
    (0..300).any(|_| play(variant, &Vec::<Step>::arbitrary(&mut g)).is_some())
}

#[test]
fn broken_variants_are_found() {
    let broken = [
        Variant::ReclaimWhenLeaseLapses,
        Variant::RetireWithoutAllSideProcesses,
        Variant::SettleTwice,
        Variant::GiverIsNotDebited,
        Variant::AnswerAcceptedTwice,
        Variant::LostReportIsRepeated,
        Variant::TopupWithoutId,
    ];
    let missed: Vec<_> = broken.into_iter().filter(|v| !is_found(*v)).collect();
    assert!(missed.is_empty(), "not found: {missed:?}");
}
