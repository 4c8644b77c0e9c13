//! Exit codes and errors of `hawthornctl`.

use std::process::ExitCode;

use hawthornrack_lib::FieldError;
use thiserror::Error;

/// How a command ended; the numbers are documented and stay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command did what was asked.
    Ok = 0,
    /// The command failed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// There are differences, or another writer changed the object first.
    Differs = 3,
    /// No server answered.
    Unreachable = 4,
    /// The watched move was taken back.
    TakenBack = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command did not end as asked.
#[derive(Debug, displaydoc::Display, Error)]
pub(crate) enum CommandError {
    /// {0}
    Failed(String),
    /// {0}
    Usage(String),
    /// {0}
    Conflict(String),
    /// {0}
    Unreachable(String),
}

impl CommandError {
    /// Returns the exit that goes with the error.
    pub(crate) const fn exit(&self) -> Exit {
        match self {
            Self::Failed(_) => Exit::Failed,
            Self::Usage(_) => Exit::Usage,
            Self::Conflict(_) => Exit::Differs,
            Self::Unreachable(_) => Exit::Unreachable,
        }
    }

    /// Returns the name of the error in JSON.
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
        Self::Failed(format!("the server's answer cannot be read: {error}"))
    }
}

/// Result of a command.
pub(crate) type CommandResult<T = Exit> = Result<T, CommandError>;
