//! Size of a request to an engine: the tokens that it reads and the most that it may generate.

use crate::ids::PartId;

/// A part of a prompt. Engines cache parts, so that requests with a common part share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// The size of a request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens that the response may have.
    pub answer_tokens: u32,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl PromptSize {
    /// Returns the sum of prompt tokens and the most response tokens, as the limits of workspaces
    /// count them.
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
