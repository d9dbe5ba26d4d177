//! Accepted fields of a chat completion request, and their effect on its cost.

/// Effect of a field on the cost of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostEffect {
    /// The field adds no tokens, or its cost is bounded elsewhere.
    None,
    /// The content may become part of the prompt or be charged like it.
    Prompt,
}

/// Fields that add no tokens, or whose tokens are counted elsewhere.
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

/// Fields whose bytes count as prompt bytes.
///
/// An engine also charges the rejected tokens of a `prediction`, which are fewer than its bytes.
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

/// Returns the effect of a field, or `None` if the field is not listed here.
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
