//! What a request asks an engine to read and to write.

/// A part of a prompt. Engines keep parts that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The size of a request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Parts of the prompt, in their order.
    pub parts: Vec<PromptPart>,
}
