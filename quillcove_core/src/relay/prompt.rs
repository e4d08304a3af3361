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

impl PromptSize {
    /// Tokens of the prompt and the most of the answer, as limits of workspaces count them.
    ///
    /// ```
    /// use quillcove_core::relay::prompt::PromptSize;
    ///
    /// let size = PromptSize { tokens: 1460, answer_tokens: 80, parts: Vec::new() };
    /// assert_eq!(size.all_tokens(), 1540);
    /// ```
    pub fn all_tokens(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.answer_tokens)
    }
}
