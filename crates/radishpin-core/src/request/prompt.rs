//! What is known of a prompt before it runs.

/// Size of a prompt and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate at most.
    pub output_tokens_max: u32,
}
