//! Answering the calls of other routers.

use tokio::net::TcpListener;

use super::evacuations::EVACUATIONS;
use super::messages::NEWS;
use super::quarantine::QUARANTINE;
use crate::call::serve_calls;
use crate::ledger::{CARRIED, CARRY, GRANT, INQUIRY, LEND, REPORT, Role};
use crate::prelude::*;

/// Answers calls of other routers until the process ends.
pub async fn serve_peers(gw: Rc<Gateway>, listener: TcpListener) {
    let answer = move |path: String, message: Bytes| {
        let gw = gw.clone();
        let answered: crate::platform::LocalFuture<'static, _> =
            Box::pin(async move { answer(&gw, &path, &message).await });
        answered
    };
    serve_calls(listener, Rc::new(answer)).await;
}

/// Answers one call; `None` for what is no call to this router in its role.
async fn answer(gw: &Rc<Gateway>, path: &str, message: &[u8]) -> Option<Vec<u8>> {
    match path {
        LEND => gw.ledger.answer_borrower(message),
        CARRY => gw.ledger.answer_carry(message),
        CARRIED => gw.ledger.answer_carried(message),
        REPORT => gw.ledger.answer_report(message),
        INQUIRY => gw.ledger.answer_inquiry(message),
        QUARANTINE => {
            let call = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&gw.quarantine.handle_call(&call)).ok()
        }
        EVACUATIONS => postcard::to_stdvec(&*gw.evacuations.borrow()).ok(),
        _ if gw.ledger.role() == Role::Follower => None,
        NEWS => {
            let call = postcard::from_bytes(message).ok()?;
            postcard::to_stdvec(&super::relay::tell_news(gw, &call)).ok()
        }
        GRANT => {
            let call = postcard::from_bytes(message).ok()?;
            let version = gw.catalogue().map_or(0, |c| c.version);
            let granted = gw.ledger.grant(&call, version).await;
            postcard::to_stdvec(&granted).ok()
        }
        _ => None,
    }
}
