//! Upper bound on the cost of a chat completion.

use base::prelude::*;
use plan::doc::Model;

use crate::chat::Chat;

/// Returns the most tokens that a chat completion can use.
///
/// A token stands for at least one byte, so the byte count of the prompt bounds its tokens. The
/// bytes of an image do not bound its tokens, so the model declares a bound for each image. The
/// model also declares how many tokens the chat template of the engine adds.
#[must_use]
pub fn token_bound(chat: &Chat, model: &Model) -> Tokens {
    let prompt = chat.prompt_bytes
        + chat.message_count * model.message_tokens
        + chat.image_count * model.image_tokens
        + model.template_tokens;
    prompt + chat.choices * chat.max_tokens
}
