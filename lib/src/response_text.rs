//! Text of a response as far as it has been generated.

use serde::Deserialize;
use serde::Serialize;

/// Generated text: a prefix of `prefix_count` tokens, followed by individual tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseText {
    /// Text of the prefix; `None` when only the engine has it.
    prefix: Option<String>,
    /// Number of tokens in the prefix.
    #[serde(rename = "count")]
    prefix_count: u32,
    /// Text of each token after the prefix.
    tokens: Vec<String>,
}

impl Default for ResponseText {
    fn default() -> Self {
        Self::with_known_prefix(String::new(), 0)
    }
}

impl ResponseText {
    /// Creates a text that consists of a prefix of `count` tokens.
    pub fn with_known_prefix(text: String, count: u32) -> Self {
        Self {
            prefix: Some(text),
            prefix_count: count,
            tokens: Vec::new(),
        }
    }

    /// Creates a text that consists of a prefix of `count` tokens whose content is not known.
    pub fn with_unknown_prefix(count: u32) -> Self {
        Self {
            prefix: (count == 0).then(String::new),
            prefix_count: count,
            tokens: Vec::new(),
        }
    }

    /// Returns the number of tokens, which is the position of the last one.
    pub fn position(&self) -> u32 {
        self.prefix_count + u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Appends the text of a token.
    pub fn push(&mut self, token: String) {
        self.tokens.push(token);
    }

    /// Returns the text from the first token on, or `None` if the prefix is not known.
    pub fn full_text(&self) -> Option<String> {
        let prefix = self.prefix.as_ref()?;
        Some(format!("{prefix}{}", self.tokens.concat()))
    }

    /// Returns the tokens after `position` with their positions, without those in the prefix.
    pub fn tokens_after(&self, position: u32) -> Vec<(u32, String)> {
        let numbered = (self.prefix_count + 1..).zip(&self.tokens);
        numbered
            .filter(|(number, _)| *number > position)
            .map(|(number, token)| (number, token.clone()))
            .collect()
    }
}
