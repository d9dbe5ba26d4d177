//! Guards the compatibility of the chat API with an unmodified client library.
//!
//! A field that is missing, renamed or sent without being requested breaks clients that parse the
//! published format strictly.

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::error::OpenAIError;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessageArgs, ChatCompletionStreamOptions, CreateChatCompletionRequest,
    CreateChatCompletionRequestArgs,
};
use conf::log::{Format, Level, Log};
use futures::StreamExt;
use rig::demo::Demo;

async fn demo() -> Demo {
    let log = daemon::instance::logger(&Log { level: Level::Error, format: Format::Text });
    rig::demo::spawn(&log).await.unwrap()
}

fn client(demo: &Demo, key: &str) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", demo.access.addresses[0]);
    Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(key))
}

fn request(demo: &Demo, content: &str) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default().content(content).build().unwrap();
    CreateChatCompletionRequestArgs::default()
        .model(demo.access.model.clone())
        .messages([message.into()])
        .max_completion_tokens(16_u32)
        .build()
        .unwrap()
}

#[ntex::test]
async fn an_unstreamed_answer_parses_with_its_usage() {
    let demo = demo().await;
    let client = client(&demo, &demo.access.key);
    let answer = client.chat().create(request(&demo, "marker=whole")).await.unwrap();
    let content = answer.choices[0].message.content.as_deref().unwrap();
    assert!(content.starts_with("marker=whole"));
    assert_eq!(answer.usage.unwrap().completion_tokens, 16);
    demo.stop().await;
}

#[ntex::test]
async fn a_stream_ends_with_its_usage_when_requested() {
    let demo = demo().await;
    let client = client(&demo, &demo.access.key);
    let mut streamed = request(&demo, "marker=stream");
    streamed.stream_options =
        Some(ChatCompletionStreamOptions { include_usage: Some(true), include_obfuscation: None });
    let mut stream = client.chat().create_stream(streamed).await.unwrap();
    let mut content = String::new();
    let mut usage = None;
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.unwrap();
        for choice in &chunk.choices {
            content.push_str(choice.delta.content.as_deref().unwrap_or_default());
        }
        usage = chunk.usage.or(usage);
    }
    assert!(content.starts_with("marker=stream"));
    assert!(content.trim_end().ends_with("t15"));
    assert_eq!(usage.unwrap().completion_tokens, 16);
    demo.stop().await;
}

#[ntex::test]
async fn a_stream_omits_its_usage_unless_requested() {
    let demo = demo().await;
    let client = client(&demo, &demo.access.key);
    let mut stream = client.chat().create_stream(request(&demo, "hello")).await.unwrap();
    while let Some(chunk) = stream.next().await {
        assert!(chunk.unwrap().usage.is_none());
    }
    demo.stop().await;
}

#[ntex::test]
async fn a_refusal_for_a_spent_budget_has_code_insufficient_quota() {
    let demo = demo().await;
    let client = client(&demo, &demo.access.poor_key);
    let mut refusal = None;
    for _ in 0..10 {
        if let Err(error) = client.chat().create(request(&demo, "hello")).await {
            refusal = Some(error);
            break;
        }
    }
    let Some(OpenAIError::ApiError(error)) = refusal else { panic!("{refusal:?}") };
    assert_eq!(error.api_error.code.as_deref(), Some("insufficient_quota"));
    demo.stop().await;
}
