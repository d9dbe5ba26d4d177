//! Fields of a chat completion request whose effect on its cost is known.

/// What a field does to the cost of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostEffect {
    /// It neither enlarges the prompt nor the completion, or is bounded elsewhere.
    None,
    /// Its content may become part of the prompt or be charged like it.
    Prompt,
}

/// Fields without an effect on the bound.
const WITHOUT_COST: [&str; 36] = [
    "frequency_penalty",
    "ignore_eos",
    "include_stop_str_in_output",
    "length_penalty",
    "logit_bias",
    "logprobs",
    "max_completion_tokens",
    "max_tokens",
    "messages",
    "metadata",
    "min_p",
    "min_tokens",
    "model",
    "n",
    "parallel_tool_calls",
    "presence_penalty",
    "prompt_cache_key",
    "reasoning_effort",
    "repetition_penalty",
    "safety_identifier",
    "seed",
    "service_tier",
    "skip_special_tokens",
    "spaces_between_special_tokens",
    "stop",
    "stop_token_ids",
    "store",
    "stream",
    "stream_options",
    "temperature",
    "tool_choice",
    "top_k",
    "top_logprobs",
    "top_p",
    "user",
    "verbosity",
];

/// Fields whose bytes count like those of the prompt.
///
/// The tokens of a prediction that the engine rejects are charged as well; they are fewer than
/// its bytes.
const COUNTED_AS_PROMPT: [&str; 10] = [
    "function_call",
    "functions",
    "guided_choice",
    "guided_grammar",
    "guided_json",
    "guided_regex",
    "prediction",
    "response_format",
    "structured_outputs",
    "tools",
];

/// Returns the effect of a field, `None` if it is not known.
///
/// # Examples
///
/// ```
/// use flow::fields::{CostEffect, cost_effect};
/// assert_eq!(cost_effect("tools"), Some(CostEffect::Prompt));
/// assert_eq!(cost_effect("seed"), Some(CostEffect::None));
/// assert_eq!(cost_effect("best_of"), None);
/// ```
#[must_use]
pub fn cost_effect(name: &str) -> Option<CostEffect> {
    if WITHOUT_COST.contains(&name) {
        Some(CostEffect::None)
    } else if COUNTED_AS_PROMPT.contains(&name) {
        Some(CostEffect::Prompt)
    } else {
        None
    }
}
