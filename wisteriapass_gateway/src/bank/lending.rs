//! Lending shares between routers: for accounts whose share is short here and not elsewhere.
//!
//! Answers a cut of all routers from the service, in which draws shift between them, and totals
//! that run low. The lender counts a loan as spent before it answers: a lost answer strands the
//! loan and doubles nothing.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::{Bank, Group};

/// Path of the call.
const PATH: &str = "/shares/lend";

/// Longest time for one router's answer, in milliseconds: many round trips within a region.
const ASK_MS: u64 = 40;

/// Time without another try for an account that nobody could lend to, in milliseconds: loans cost
/// calls at routers that are as short.
const NO_LOAN_MS: u64 = 250;

/// Largest message, in bytes.
const LARGEST: usize = 4 << 10;

/// Pause after a connection could not be taken, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 20;

/// Asks for a loan.
#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    account: String,
    /// Tokens that would be welcome.
    ask: u64,
    /// Tokens below which a loan is of no use.
    least: u64,
}

/// Answers it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Loan {
    /// Tokens lent; 0 is none.
    tokens: u64,
}

impl Bank {
    /// Borrows for a request that costs `most`; returns whether another try makes sense.
    pub(super) async fn borrow(&self, group: &Group, account: &str, most: u64) -> bool {
        let not_before = group.no_loan.borrow().get(account).copied();
        if not_before.is_some_and(|at| Instant::now() < at) {
            return false;
        }
        let pause = Instant::now() + Duration::from_millis(NO_LOAN_MS);
        group.no_loan.borrow_mut().insert(account.to_owned(), pause);
        let now_ms = self.clock.now_ms();
        let (least, ask) = group.holder.borrow().loan(now_ms, account, most);
        let ask = Ask {
            account: account.to_owned(),
            ask,
            least,
        };
        let me = group.holder.borrow().id().clone();
        let lenders = {
            let record = group.record.borrow();
            let known = group.lenders.borrow();
            known.choose(&record, &me, account, least, now_ms)
        };
        for lender in lenders {
            let asked = timeout(Duration::from_millis(ASK_MS), ask_one(lender, &ask)).await;
            let lent = asked.ok().flatten().unwrap_or_default().tokens;
            if lent == 0 {
                let mut lenders = group.lenders.borrow_mut();
                lenders.note_short(account, lender, least, self.clock.now_ms());
                continue;
            }
            log::info!(target: "money", "Borrowed. account={account} tokens={lent} of={lender}");
            group.holder.borrow_mut().borrow(account, lent);
            group.no_loan.borrow_mut().remove(account);
            group.done.notify_waiters();
            return true;
        }
        false
    }

    /// Lends to other routers, until the process ends.
    pub async fn serve_lending(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(REFUSED_PAUSE_MS)).await;
                continue;
            };
            let bank = self.clone();
            spawn_local(async move {
                let service = service_fn(|request| bank.answer(request));
                let serving = http1_server().serve_connection(TokioIo::new(stream), service);
                // Whoever asks may leave at any time.
                let _ = serving.await;
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let is_ask = request.method() == Method::POST && request.uri().path() == PATH;
        let body = Limited::new(request.into_body(), LARGEST).collect().await;
        let ask = body.ok().filter(|_| is_ask);
        let ask = ask.and_then(|b| serde_json::from_slice::<Ask>(&b.to_bytes()).ok());
        let mut response = Response::default();
        match ask {
            Some(ask) => {
                let loan = self.lend(&ask);
                let text = serde_json::to_vec(&loan).unwrap_or_default();
                *response.body_mut() = Full::new(Bytes::from(text));
            }
            None => *response.status_mut() = StatusCode::BAD_REQUEST,
        }
        Ok(response)
    }

    fn lend(&self, ask: &Ask) -> Loan {
        let holder = &self.group(&ask.account).holder;
        let tokens = holder.borrow_mut().lend(&ask.account, ask.ask, ask.least);
        Loan { tokens }
    }
}

fn http1_server() -> hyper::server::conn::http1::Builder {
    hyper::server::conn::http1::Builder::new()
}

async fn ask_one(lender: SocketAddr, ask: &Ask) -> Option<Loan> {
    let stream = TcpStream::connect(lender).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, line) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(line);
    let body = Full::new(Bytes::from(serde_json::to_vec(ask).ok()?));
    let request = Request::post(PATH)
        .header(HOST, lender.to_string())
        .body(body)
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let body = Limited::new(answer.into_body(), LARGEST)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
