//! Token counts of a request, stated before it runs.

/// Size of a prompt and upper bound of its completion, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate.
    pub output_tokens_max: u32,
}
