//! Memory for answers that are buffered until they are whole.

use wisteriapass_policy::answer_budget::AnswerBudget;

/// Memory of a VM, in bytes.
const VM_BYTES: u64 = 160_000_000;

/// Size of each part of an answer that arrives, in bytes.
const PART: u64 = 16_000;

/// Receives parts of an answer until it is given up, at most up to a size; returns the size.
fn receive(budget: &mut AnswerBudget, size: u64) -> u64 {
    let mut held = 0;
    while held < size && budget.take(held, PART) {
        held += PART;
    }
    held
}

/// Guards against one endless answer that takes the memory of all others.
#[test]
fn an_endless_answer_leaves_memory_for_others() {
    let mut budget = AnswerBudget::new(VM_BYTES);
    let endless = receive(&mut budget, u64::MAX);
    assert!(endless <= VM_BYTES / 16, "{endless}");
    assert_eq!(receive(&mut budget, 2_000_000), 2_000_000);
}

/// Guards against endless answers that come at the same time and fill the memory together.
#[test]
fn many_endless_answers_hold_a_part_of_the_memory_together() {
    let mut budget = AnswerBudget::new(VM_BYTES);
    let held: u64 = (0..100).map(|_| receive(&mut budget, u64::MAX)).sum();
    assert!(held <= VM_BYTES / 4, "{held}");
    let small = receive(&mut budget, 3 * PART);
    assert_eq!(small, 3 * PART, "a small answer is buffered all the same");
}

#[test]
fn released_memory_is_available_again() {
    let mut budget = AnswerBudget::new(VM_BYTES);
    for _ in 0..100 {
        let held = receive(&mut budget, 2_000_000);
        assert_eq!(held, 2_000_000);
        budget.release(held);
    }
}
