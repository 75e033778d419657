//! Questions about the origin of a stream that this router does not remember.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;
use wisteriapass_coord::origin::{Knowledge, StreamId};

use super::found_origin::FoundOrigin;
use super::known::other_relays;
use crate::origins::OriginQuery;
use crate::prelude::*;
use crate::rpc::deadline_in;
use crate::store_watch::confirm_targets;

/// Path of a question about a stream.
pub const ORIGIN_QUERY_PATH: &str = "/relay/origin";

/// Time within which an answer has to start, in milliseconds: many round trips within a region, also
/// to a router on a busy VM.
const ANSWER_TIMEOUT_MS: u64 = 200;

/// Finds the software at which a stream of one of these services goes on.
///
/// All relays are asked: a few of them were told of the stream, and others may know of a version that
/// this router does not.
pub async fn find_origin(
    gw: &Gateway,
    stream: StreamId,
    services: SmallVec<[String; 2]>,
) -> FoundOrigin {
    let asked_at = Instant::now();
    let own = own_knowledge(gw, &stream, &services);
    if own.origin.is_some() {
        return FoundOrigin::new(&own, 0, &[]);
    }
    if gw.origins.is_unknown(&stream) {
        return FoundOrigin::unknown();
    }
    let relays = other_relays(gw);
    let query = OriginQuery { stream, services };
    let calls = relays.iter().map(|relay| {
        let until = deadline_in(ANSWER_TIMEOUT_MS);
        gw.rpc.call(relay.address, ORIGIN_QUERY_PATH, &query, until)
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut answers: Vec<Knowledge> = Vec::new();
    while let Some(answer) = calls.next().await {
        answers.extend(answer);
        if answers.last().is_some_and(|k| k.origin.is_some()) {
            break;
        }
    }
    // The stream may have been reported, or the versions read, since.
    let mut own = own_knowledge(gw, &query.stream, &query.services);
    let has_all_answers = !relays.is_empty() && answers.len() >= relays.len();
    let has_origin = answers.iter().chain([&own]).any(|k| k.origin.is_some());
    if !has_all_answers && !has_origin && own.possible.len() == 1 {
        let is_fresh = confirm_targets(gw, asked_at).await;
        own = Knowledge {
            is_fresh,
            ..own_knowledge(gw, &query.stream, &query.services)
        };
    }
    FoundOrigin::new(&own, relays.len(), &answers)
}

fn own_knowledge(gw: &Gateway, stream: &StreamId, services: &[String]) -> Knowledge {
    let services = services.iter().map(String::as_str);
    gw.origins.knowledge(Some(stream), services)
}

/// Answers another router's question.
pub fn answer_query(gw: &Gateway, query: &OriginQuery) -> Knowledge {
    Knowledge {
        is_fresh: gw.has_recent_targets(),
        ..own_knowledge(gw, &query.stream, &query.services)
    }
}
