//! Configuration documents between processes, on links that take longer for one than a control call.

use std::net::SocketAddr;

use jsonrpsee::RpcModule;
use wisteriapass_bench::link::{Link, LinkFaults};
use wisteriapass_daemon::rpc::{ControlClient, ControlServerHandle, RpcClient};

/// Pace of the link, in bytes a millisecond.
const PACE: u64 = 300;

/// Bytes of a document that takes 2.4 s at that pace.
const LARGE: usize = 720_000;

// A process that is behind fetches the document from a partner that is ahead. Within the second of a
// control call it never got one that its link takes longer for, and read the store a minute later.
#[test]
fn a_document_that_takes_longer_than_a_control_call_is_fetched() {
    let mut module = RpcModule::new(());
    module
        .register_method("control_document", |_, _, _| "x".repeat(LARGE))
        .unwrap();
    let partner = ControlServerHandle::start(SocketAddr::from(([127, 0, 0, 1], 0)), module);
    let partner = partner.unwrap();
    let link = Link::start(partner.address()).unwrap();
    link.set_faults(LinkFaults::paced(PACE));
    let caller = RpcClient::new().unwrap();
    let fetched =
        caller.call_for_document(
            link.addr(),
            |c| async move { ControlClient::document(&c).await },
        );
    assert_eq!(fetched.unwrap().unwrap().len(), LARGE);
}
