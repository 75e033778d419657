//! Division of a router's memory between all that others can make it hold.

use quickcheck_macros::quickcheck;
use wisteriapass_policy::memory_account::{MemoryAccount, Purpose};

/// Memory of a VM, in bytes.
const VM_BYTES: u64 = 160_000_000;

/// Size of each part of a body that arrives, in bytes.
const PART: u64 = 16_000;

/// Receives parts of a body until it is given up, at most up to a size; returns the size.
fn receive(account: &mut MemoryAccount, purpose: Purpose, size: u64) -> u64 {
    let mut held = 0;
    while held < size && account.take(purpose, held, PART) {
        held += PART;
    }
    held
}

/// Guards against one endless answer that takes the memory of all others.
#[test]
fn an_endless_answer_leaves_memory_for_others() {
    let mut account = MemoryAccount::new(VM_BYTES);
    let endless = receive(&mut account, Purpose::Answer, u64::MAX);
    assert!(endless <= VM_BYTES / 16, "{endless}");
    let sound = receive(&mut account, Purpose::Answer, 2_000_000);
    assert_eq!(sound, 2_000_000);
}

/// Guards against endless answers that come at the same time and fill the memory together.
#[test]
fn many_endless_answers_hold_a_part_of_the_memory_together() {
    let mut account = MemoryAccount::new(VM_BYTES);
    let held = (0..100).map(|_| receive(&mut account, Purpose::Answer, u64::MAX));
    let held: u64 = held.sum();
    assert!(held <= VM_BYTES / 4, "{held}");
    let small = receive(&mut account, Purpose::Answer, 3 * PART);
    assert_eq!(small, 3 * PART, "a small answer is buffered all the same");
}

#[test]
fn released_memory_is_available_again() {
    let mut account = MemoryAccount::new(VM_BYTES);
    for _ in 0..100 {
        let held = receive(&mut account, Purpose::Answer, 2_000_000);
        assert_eq!(held, 2_000_000);
        account.release(Purpose::Answer, held);
    }
    assert_eq!(account.total(), 0);
}

/// Guards against bodies of callers that come at the same time and fill the memory together.
#[test]
fn many_large_bodies_leave_memory_for_small_requests() {
    let mut account = MemoryAccount::new(VM_BYTES);
    let taken = (0..1_000).filter(|_| account.take(Purpose::Body, 0, 4 << 20));
    let taken = taken.count() as u64;
    assert!(taken > 4, "{taken}");
    assert!(taken * (4 << 20) <= VM_BYTES / 4, "{taken}");
    for _ in 0..100 {
        assert!(account.take(Purpose::Request, 0, 32 << 10));
        assert!(account.take(Purpose::Body, 0, 10_000));
        assert!(account.take(Purpose::Answer, 0, 10_000));
    }
    assert!(!account.is_short());
}

/// Guards against connections without requests that take the memory of requests.
#[test]
fn idle_connections_leave_memory_for_requests() {
    let mut account = MemoryAccount::new(VM_BYTES);
    while account.take(Purpose::Connection, 0, 20 << 10) {}
    assert!(account.take(Purpose::Request, 0, 32 << 10));
    assert!(account.take(Purpose::Peer, 0, 2_000_000));
}

/// Guards against connections of callers that take all descriptors.
#[test]
fn a_connection_limit_below_that_of_the_memory_holds() {
    let mut account = MemoryAccount::new(VM_BYTES).with_connection_limit(1_000_000);
    let taken = (0..1_000).filter(|_| account.take(Purpose::Connection, 0, 10_000));
    assert_eq!(taken.count(), 100);
    assert!(account.is_short());
    account.release(Purpose::Connection, 200_000);
    assert!(!account.is_short());
}

/// Guards against limits whose sum exceeds the memory.
#[quickcheck]
fn all_purposes_together_stay_below_half_of_the_memory(takes: Vec<(u8, u32, bool)>) -> bool {
    let mut account = MemoryAccount::new(VM_BYTES);
    takes.iter().cycle().take(takes.len() * 50).all(|take| {
        let (purpose, size, is_small) = *take;
        let purpose = Purpose::ALL[usize::from(purpose) % Purpose::ALL.len()];
        let size = u64::from(size) % if is_small { 60_000 } else { 9_000_000 };
        account.take(purpose, 0, size);
        account.total() <= VM_BYTES / 2
    })
}
