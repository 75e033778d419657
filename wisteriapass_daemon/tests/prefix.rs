//! Prefix hashes of conversations, which identify a shared prefix that an engine may have cached.

use serde_json::json;
use wisteriapass_daemon::router::prefix_hash;
use wisteriapass_daemon::run_wire::{ChatMessage, ChatRun, EngineFields};

fn chat(model: &str, text: &str) -> ChatRun {
    ChatRun {
        model: model.into(),
        messages: vec![ChatMessage {
            role: "system".into(),
            content: text.into(),
        }],
        max_tokens: 16,
        priority: 1,
        other: EngineFields::default(),
    }
}

fn with_adapter(mut chat: ChatRun, adapter: &str) -> ChatRun {
    chat.other.0.insert("adapter".into(), json!(adapter));
    chat
}

#[test]
fn a_shared_prefix_has_one_hash_per_model_and_adapter() {
    let text = "page ".repeat(300);
    let plain = prefix_hash(&chat("m", &text));
    assert!(plain.is_some());
    assert_eq!(plain, prefix_hash(&chat("m", &format!("{text}more"))));
    let with_a = prefix_hash(&with_adapter(chat("m", &text), "a"));
    let others = [
        prefix_hash(&chat("n", &text)),
        with_a,
        prefix_hash(&with_adapter(chat("m", &text), "b")),
        prefix_hash(&chat("ma", &text)),
    ];
    for (n, other) in others.iter().enumerate() {
        assert_ne!(*other, plain);
        assert!(!others[..n].contains(other), "{others:?}");
    }
}

#[test]
fn a_short_prefix_has_no_hash() {
    assert_eq!(prefix_hash(&chat("m", "short")), None);
}
