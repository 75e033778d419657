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
    let own = own_knowledge(gw, &query.stream, &query.services);
    FoundOrigin::new(&own, relays.len(), &answers)
}

fn own_knowledge(gw: &Gateway, stream: &StreamId, services: &[String]) -> Knowledge {
    let services = services.iter().map(String::as_str);
    Knowledge {
        is_fresh: gw.has_recent_targets(),
        ..gw.origins.knowledge(Some(stream), services)
    }
}

/// Answers another router's question.
pub fn answer_query(gw: &Gateway, query: &OriginQuery) -> Knowledge {
    own_knowledge(gw, &query.stream, &query.services)
}
