//! Prints the size of the JSON document of configurations and the time to process it.
//!
//! `cargo run --release -p wisteriapass_config --example size`

use std::time::Instant;

use wisteriapass_config::{
    Account, Budget, Document, FailureDomain, Inventory, ModelOffer, Router, Rules, Target,
    TargetKind,
};

/// Number of entries in a configuration.
#[derive(Clone, Copy)]
struct Size {
    label: &'static str,
    routers: u32,
    targets: u32,
    accounts: u32,
    budgets: u32,
}

const SIZES: [Size; 3] = [
    Size {
        label: "today",
        routers: 3,
        targets: 21,
        accounts: 10,
        budgets: 13,
    },
    Size {
        label: "tenfold",
        routers: 30,
        targets: 210,
        accounts: 100,
        budgets: 130,
    },
    Size {
        label: "in two years",
        routers: 600,
        targets: 1_900,
        accounts: 1_100,
        budgets: 21_000,
    },
];

const DOMAINS: u32 = 24;

/// Number of models. Each budget of an account pays for a different model, so there have to be at
/// least as many models as an account has budgets.
const MODELS: u32 = 24;

fn main() {
    println!("size          JSON bytes  to JSON  from JSON    check  compare");
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: Size) {
    let document = document(size);
    let (text, write_ms) = timed(|| document.to_json());
    let (parsed, read_ms) = timed(|| Document::from_json(&text));
    let parsed = parsed.expect("the text was written by to_json");
    let (checked, check_ms) = timed(|| parsed.check());
    checked.expect("the generated document is valid");
    let (changes, compare_ms) = timed(|| document.changes_to(&parsed));
    assert!(changes.is_empty());
    println!(
        "{:12}  {:10}  {write_ms:4.1} ms    {read_ms:4.1} ms  {check_ms:4.1} ms  {compare_ms:4.1} ms",
        size.label,
        text.len(),
    );
}

/// Runs `work` and returns its result and duration in milliseconds.
fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed().as_secs_f64() * 1e3)
}

fn document(size: Size) -> Document {
    let rules = Rules {
        account: (0..size.accounts).map(account).collect(),
        budget: (0..size.budgets)
            .map(|n| budget(n, size.accounts))
            .collect(),
        class: Vec::new(),
    };
    Document {
        revision: 1,
        op: "size".into(),
        inventory: Inventory {
            failure_domain: (0..DOMAINS).map(domain).collect(),
            router: (0..size.routers).map(router).collect(),
            target: (0..size.targets).map(target).collect(),
        },
        rules,
    }
}

fn domain(n: u32) -> FailureDomain {
    FailureDomain {
        name: format!("region-{}-{n}", n % 7),
        region: format!("region-{}", n % 7),
        evacuated: false,
    }
}

fn domain_name(n: u32) -> String {
    domain(n % DOMAINS).name
}

fn address(net: u8, n: u32, port: u16) -> std::net::SocketAddr {
    let [_, b, c, d] = n.to_be_bytes();
    ([net, b, c, d], port).into()
}

fn router(n: u32) -> Router {
    Router {
        name: format!("router-{n}"),
        vm: format!("entry-{n}"),
        failure_domain: domain_name(n),
        listen: address(10, n, 8080),
        control: address(10, n, 8081),
    }
}

fn target(n: u32) -> Target {
    Target {
        name: format!("lm-{n}"),
        vm: format!("gpu-{n}"),
        failure_domain: domain_name(n),
        kind: TargetKind::Engine,
        address: ([127, 0, 0, 1], 8000).into(),
        side: address(11, n, 8090),
        side_control: address(11, n, 8091),
        model: vec![ModelOffer {
            name: format!("model-{}", n % MODELS),
            version: "2026-09".into(),
            adapters: Vec::new(),
        }],
        services: Vec::new(),
        slots: 16,
        tokens_per_second: 1_000,
        checks_fencing: false,
        draining: false,
    }
}

fn account(n: u32) -> Account {
    Account {
        name: format!("account-{n}"),
        key_digest: format!("{:064x}", n + 1),
        weight: 1,
        models: vec!["*".into()],
        services: Vec::new(),
    }
}

fn budget(n: u32, accounts: u32) -> Budget {
    // Each budget of an account pays for one model, except the first one, which pays for all
    // others.
    let number = n / accounts;
    Budget {
        name: format!("budget-{number}"),
        account: format!("account-{}", n % accounts),
        models: match number {
            0 => Vec::new(),
            _ => vec![format!("model-{}", number % MODELS)],
        },
    }
}
