//! Exit codes and errors of `hawthornctl`.

use std::process::ExitCode;

use hawthornrack_lib::FieldError;
use thiserror::Error;

/// Exit code of a command; the numbers are listed in `hawthornctl --help` and must not change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Ok = 0,
    /// The command failed, or the watched move was cancelled.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// There are differences, or the change conflicts with another writer or a move.
    DiffersOrConflict = 3,
    /// No server could serve the call: each was unreachable, not ready or without contact with the
    /// platform's log.
    Unreachable = 4,
    /// The watched move was rolled back.
    RolledBack = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// An error that ends a command.
#[derive(Debug, displaydoc::Display, Error)]
pub(crate) enum CommandError {
    // A controller rejected the call, a reply cannot be decoded, or a local file is invalid or
    // cannot be read.
    /// {0}
    Failed(String),
    // The command line, or the token file that it names, is invalid.
    /// {0}
    Usage(String),
    // Another writer changed the object first, or the change conflicts with a move.
    /// {0}
    Conflict(String),
    // No controller could serve the call.
    /// {0}
    Unreachable(String),
}

impl CommandError {
    /// Returns the exit code for the error.
    pub(crate) const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Failed(_) => ExitStatus::Failed,
            Self::Usage(_) => ExitStatus::Usage,
            Self::Conflict(_) => ExitStatus::DiffersOrConflict,
            Self::Unreachable(_) => ExitStatus::Unreachable,
        }
    }

    /// Returns the name of the error in JSON output.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Failed(_) => "failed",
            Self::Usage(_) => "usage",
            Self::Conflict(_) => "conflict",
            Self::Unreachable(_) => "unreachable",
        }
    }
}

impl From<FieldError> for CommandError {
    fn from(error: FieldError) -> Self {
        Self::Failed(format!("the server's reply cannot be decoded: {error}"))
    }
}

/// Result of a command.
pub(crate) type CommandResult<T = ExitStatus> = Result<T, CommandError>;
