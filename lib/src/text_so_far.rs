//! Text of an answer as far as it has been generated.

use serde::Deserialize;
use serde::Serialize;

/// Text so far: a prefix of so many tokens, then single tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TextSoFar {
    /// Text of the prefix; absent when only the engine has it.
    prefix: Option<String>,
    /// Tokens of the prefix.
    count: u32,
    /// Tokens after the prefix.
    tokens: Vec<String>,
}

impl Default for TextSoFar {
    fn default() -> Self {
        Self::known(String::new(), 0)
    }
}

impl TextSoFar {
    /// Returns a text of `count` tokens.
    pub fn known(text: String, count: u32) -> Self {
        Self {
            prefix: Some(text),
            count,
            tokens: Vec::new(),
        }
    }

    /// Returns a text of `count` tokens that is not known here.
    pub fn unknown(count: u32) -> Self {
        Self {
            prefix: (count == 0).then(String::new),
            count,
            tokens: Vec::new(),
        }
    }

    /// Returns the number of tokens so far.
    pub fn position(&self) -> u32 {
        self.count + u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Adds a token.
    pub fn push(&mut self, token: String) {
        self.tokens.push(token);
    }

    /// Returns the whole text, if it is known.
    pub fn whole(&self) -> Option<String> {
        let prefix = self.prefix.as_ref()?;
        Some(format!("{prefix}{}", self.tokens.concat()))
    }

    /// Returns the tokens after `position` with their positions, as far as they are known singly.
    pub fn after(&self, position: u32) -> Vec<(u32, String)> {
        let numbered = (self.count + 1..).zip(&self.tokens);
        numbered
            .filter(|(number, _)| *number > position)
            .map(|(number, token)| (number, token.clone()))
            .collect()
    }
}
