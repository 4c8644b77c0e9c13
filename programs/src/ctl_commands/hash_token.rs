//! The `hash-token` subcommand.

use std::io::read_to_string;
use std::io::stdin;
use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lib::TOKEN_HASH_PREFIX;
use hawthornrack_lib::token_hash;

use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::ExitStatus;
use super::output::Output;

/// Prints the SHA-256 hash of a bearer token in the form used in customer declarations and in the
/// setting `operator_tokens`.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "hash-token",
    example = "{command_name} kanem.token",
    example = "{command_name} < kanem.token"
)]
pub(crate) struct HashTokenCommand {
    /// file that contains the token; standard input by default
    #[argh(positional)]
    file: Option<PathBuf>,
}

impl HashTokenCommand {
    pub(crate) fn run(self, output: Output) -> CommandResult {
        let text = self.read()?;
        let token = text.trim();
        if token.is_empty() || token.contains(char::is_whitespace) {
            let message = "a token must be one word on one line";
            return Err(CommandError::Failed(message.to_owned()));
        }
        let hash = format!("{TOKEN_HASH_PREFIX}{}", token_hash(token));
        output.print(&serde_json::json!({"hash": hash}), |_| hash.clone());
        Ok(ExitStatus::Ok)
    }

    fn read(&self) -> CommandResult<String> {
        let (name, text) = if let Some(path) = &self.file {
            (path.display().to_string(), std::fs::read_to_string(path))
        } else {
            (String::from("standard input"), read_to_string(stdin()))
        };
        text.map_err(|error| CommandError::Failed(format!("{name}: {error}")))
    }
}
