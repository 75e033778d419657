//! Domains that leave rotation as a whole.

use wisteriapass_policy::rotation::RotationPlanner;

use super::model::{Account, Domain, World};
use super::{HEAVY, ORDERS};

/// Returns domains, and an account in each of the first `heavy` that prefers all weak routers.
fn world(domains: usize, heavy: usize) -> World {
    let names = ["a", "b", "c"];
    let domains = names[..domains].iter().map(|name| Domain::new(name, 2, 5));
    let account = |domain| Account {
        domain,
        preference: if domain == 0 {
            ORDERS[3]
        } else {
            &["w1", "w2", "w3", "w4", "w5"]
        },
        load: HEAVY,
    };
    World::new(domains.collect(), (0..heavy).map(account).collect())
}

fn domains_out(world: &World) -> Vec<usize> {
    let all = world.domains.iter().enumerate();
    let out = all.filter(|(_, d)| d.planner.is_out(world.now()));
    out.map(|(index, _)| index).collect()
}

/// Guards against an account that always finds one of the weak routers that have to serve, and
/// against weak routers that receive its callers in the other domain.
#[test]
fn a_domain_leaves_if_an_account_prefers_all_its_weak_routers() {
    let mut world = world(2, 1);
    world.accounts[0].preference = &["w3", "w1", "w5", "w2", "w4", "s1", "s2"];
    world.run_until(30_000);
    assert_eq!(domains_out(&world), [0]);
    assert!(world.late_at[0].unwrap() < 25_000, "{:?}", world.late_at);
    let (domain, router) = world.router_of(0);
    assert_eq!(domain, 1);
    assert!(world.domains[1].used().len() <= 4, "{router}");
    world.run_until(55_000);
    // Three routers of the other domain stand by, and some of them change places.
    let flips = world.domains[1].flips();
    assert!(flips <= 9, "{flips}");
}

/// Guards against callers without any router.
#[test]
fn of_two_domains_that_want_to_leave_one_stays() {
    let mut world = world(3, 2);
    for second in 1..60 {
        world.run_until(second * 1_000);
        assert!(domains_out(&world).len() <= 1);
    }
    assert!(!domains_out(&world).is_empty());
}

/// Guards against a domain that stays out although another one can no longer promise to stay.
#[test]
fn a_domain_returns_without_the_consent_of_all_others() {
    let mut world = world(3, 1);
    world.run_until(30_000);
    assert_eq!(domains_out(&world), [0]);
    world.is_connected = false;
    world.run_until(33_500);
    assert_eq!(domains_out(&world), [0; 0]);
    world.run_until(36_000);
    assert!(world.domains[0].used().len() >= 4);
}

/// Guards against a domain that leaves while the others cannot take its callers.
#[test]
fn a_domain_stays_unless_the_others_have_two_strong_routers_each() {
    let mut world = world(2, 1);
    world.domains[1].routers.get_mut("s2").unwrap().is_alive = false;
    world.run_until(40_000);
    assert_eq!(domains_out(&world), [0; 0]);
    assert_eq!(world.domains[0].used().len(), 4);
}

/// Guards against callers that come back to a domain because its coordinator died.
#[test]
fn a_new_coordinator_keeps_its_domain_out() {
    let mut world = world(2, 1);
    world.run_until(30_000);
    let flips = world.domains[0].flips();
    for dead in 0..2 {
        let now = world.now();
        let name = ["a", "b"][dead];
        world.domains[dead].planner = RotationPlanner::new(name, now);
        world.run_until(world.now_ms + 5_000);
        assert_eq!(domains_out(&world), [0], "coordinator of {name}");
    }
    assert_eq!(world.domains[0].flips(), flips);
}
