//! The parsers of chat requests and of server-sent events against generated input.
//!
//! They guard against panics, against a rendered request that costs more than its bound, and
//! against events that are lost or change where the network splits them.

use flow::chat::Chat;
use flow::sse::Splitter;
use proptest::prelude::*;
use serde_json::{Value, json};
use test_case::test_case;

/// Generates small JSON values of all types.
fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        // Halves only: other fractions may change when they are parsed and rendered again.
        any::<i32>().prop_map(|number| Value::from(f64::from(number) / 2.0)),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        let name = prop_oneof![Just("role"), Just("content"), Just("type"), Just("text")];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::vec((name, inner), 0..4)
                .prop_map(|fields| fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect()),
        ]
    })
}

/// Generates requests in which some fields may be malformed.
fn request() -> impl Strategy<Value = Value> {
    let name = prop_oneof![
        Just("model"),
        Just("messages"),
        Just("stream"),
        Just("stream_options"),
        Just("max_tokens"),
        Just("max_completion_tokens"),
        Just("n"),
        Just("tools"),
        Just("audio"),
    ];
    prop::collection::vec((name, value()), 0..4).prop_map(|fields| {
        let mut request = json!({"model": "m", "messages": [{"role": "user", "content": "hi"}]});
        for (name, value) in fields {
            request[name] = value;
        }
        request
    })
}

proptest! {
    #[test]
    fn parsing_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        drop(Chat::parse(&bytes));
    }

    #[test]
    fn a_rendered_request_keeps_the_limits_and_prompt_size_of_the_parsed_one(request in request()) {
        let Ok(mut chat) = Chat::parse(request.to_string().as_bytes()) else { return Ok(()) };
        chat.set_default_max_tokens(7);
        let rendered = chat.render();
        let body: Value = serde_json::from_slice(&rendered).unwrap();
        let limits = ["max_tokens", "max_completion_tokens"].map(|name| body.get(name));
        prop_assert!(limits.iter().flatten().count() > 0);
        for limit in limits.into_iter().flatten() {
            prop_assert_eq!(limit.as_u64(), Some(chat.max_tokens));
        }
        prop_assert!(body.get("n").is_none_or(|n| n.is_null() || n.as_u64() == Some(chat.choices)));
        let again = Chat::parse(&rendered).unwrap();
        prop_assert_eq!(again.max_tokens, chat.max_tokens);
        prop_assert_eq!(again.prompt_bytes, chat.prompt_bytes);
    }

    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        text in "(data: [a-z]{0,5}|event: x|\r?\n){0,12}",
        chunk_lengths in prop::collection::vec(1..6_usize, 0..30),
    ) {
        let mut whole = Splitter::default();
        whole.push(text.as_bytes());
        let expected: Vec<_> = whole.by_ref().collect();
        let mut parts = Splitter::default();
        let mut events = Vec::new();
        let mut rest = text.as_bytes();
        for length in chunk_lengths.into_iter().chain([usize::MAX]) {
            let (part, left) = rest.split_at(length.min(rest.len()));
            rest = left;
            parts.push(part);
            events.extend(parts.by_ref());
        }
        let join = |events: &[flow::sse::Event]| -> Vec<u8> {
            events.iter().flat_map(|event| event.raw.iter().copied()).collect()
        };
        prop_assert_eq!(join(&events), join(&expected));
        prop_assert_eq!(parts.pending_bytes(), whole.pending_bytes());
    }

    #[test]
    fn splitting_arbitrary_bytes_loses_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut splitter = Splitter::default();
        splitter.push(&bytes);
        let raw: usize = splitter.by_ref().map(|event| {
            drop(event.usage_object());
            event.raw.len()
        }).sum();
        prop_assert_eq!(raw + splitter.pending_bytes(), bytes.len());
    }
}

#[test_case("best_of", json!(4); "several runs")]
#[test_case("audio", json!({"voice": "x"}); "audio")]
#[test_case("modalities", json!(["audio"]); "modalities")]
#[test_case("chat_template", json!("{{ x }}"); "a template")]
#[test_case("web_search_options", json!({}); "a search")]
#[test_case("mm_processor_kwargs", json!({}); "image sizes")]
#[test_case("n", json!(9); "many choices")]
#[test_case("n", json!(0); "no choices")]
fn a_field_or_value_with_unbounded_cost_is_refused(name: &str, value: Value) {
    let mut request = json!({"model": "m", "messages": [{"role": "user", "content": "hi"}]});
    request[name] = value;
    let refusal = Chat::parse(request.to_string().as_bytes()).unwrap_err();
    assert!(refusal.message.contains(name), "{refusal}");
}

#[test]
fn bytes_of_tools_and_predictions_count_as_prompt_bytes() {
    let plain = json!({"model": "m", "messages": [{"role": "user", "content": "hi"}]});
    let mut rich = plain.clone();
    rich["tools"] = json!([{"type": "function", "function": {"name": "f"}}]);
    rich["prediction"] = json!({"type": "content", "content": "abc"});
    let bytes = |request: &Value| Chat::parse(request.to_string().as_bytes()).unwrap().prompt_bytes;
    let least = rich["tools"].to_string().len() + rich["prediction"].to_string().len();
    assert!(bytes(&rich) >= bytes(&plain) + least as u64);
}
