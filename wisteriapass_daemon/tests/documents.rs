//! Transfer of configuration documents over links that need longer for one than the timeout of an
//! ordinary control call.

use std::net::SocketAddr;

use jsonrpsee::RpcModule;
use wisteriapass_bench::link::{Link, LinkFaults};
use wisteriapass_daemon::rpc::{ControlClient, ControlServerHandle, RpcClient};

/// Rate of the link, in bytes per millisecond.
const LINK_RATE: u64 = 300;

/// Size of a document that takes 2.4 s at that rate, in bytes.
const DOCUMENT_SIZE: usize = 720_000;

// A process with an old revision fetches the document from a partner with a newer one. With the
// timeout of 1 s of an ordinary control call, a document that takes longer on the link never
// arrived, and the process read it from the store only a minute later.
#[test]
fn a_document_that_takes_longer_than_the_call_timeout_is_fetched() {
    let mut module = RpcModule::new(());
    module
        .register_method("control_document", |_, _, _| "x".repeat(DOCUMENT_SIZE))
        .unwrap();
    let partner = ControlServerHandle::start(SocketAddr::from(([127, 0, 0, 1], 0)), module);
    let partner = partner.unwrap();
    let link = Link::start(partner.address()).unwrap();
    link.set_faults(LinkFaults::rate_limited(LINK_RATE));
    let client = RpcClient::new().unwrap();
    let fetched =
        client.call_for_document(
            link.addr(),
            |c| async move { ControlClient::document(&c).await },
        );
    assert_eq!(fetched.unwrap().unwrap().len(), DOCUMENT_SIZE);
}
