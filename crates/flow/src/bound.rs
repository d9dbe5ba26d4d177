//! Upper bound of a chat's cost.

use base::prelude::*;
use plan::doc::Model;

use crate::chat::Chat;

/// Returns the most tokens that a chat can use.
///
/// A token stands for at least one byte, so the bytes of the prompt bound its tokens. Images are
/// bounded by a declared figure instead, since their bytes say nothing about their tokens. What
/// the engine's chat template adds is declared with the model.
#[must_use]
pub fn token_bound(chat: &Chat, model: &Model) -> Tokens {
    let prompt = chat.prompt_bytes
        + chat.message_count * model.message_tokens
        + chat.image_count * model.image_tokens
        + model.template_tokens;
    prompt + chat.choices * chat.max_tokens
}
