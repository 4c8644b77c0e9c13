//! The `hash-token` subcommand.

use std::io::read_to_string;
use std::io::stdin;
use std::path::PathBuf;

use argh::FromArgs;
use hawthornrack_lib::TOKEN_HASH_PREFIX;
use hawthornrack_lib::token_hash;

use super::exit::CommandError;
use super::exit::CommandResult;
use super::exit::Exit;
use super::output::Output;

/// Prints the hash of a token, as declarations of customers hold it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "hash-token",
    example = "{command_name} kanem.token",
    example = "{command_name} < kanem.token"
)]
pub(crate) struct HashTokenCommand {
    /// file that holds the token; standard input by default
    #[argh(positional)]
    file: Option<PathBuf>,
}

impl HashTokenCommand {
    pub(crate) fn run(self, output: Output) -> CommandResult {
        let text = self.read()?;
        let token = text.trim();
        if token.is_empty() || token.contains(char::is_whitespace) {
            let problem = "a token is one word on one line";
            return Err(CommandError::Failed(problem.to_owned()));
        }
        let hash = format!("{TOKEN_HASH_PREFIX}{}", token_hash(token));
        output.show(&serde_json::json!({"hash": hash}), |_| hash.clone());
        Ok(Exit::Ok)
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
