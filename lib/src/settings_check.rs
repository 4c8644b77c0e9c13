//! Validation of settings beyond their types.

use std::time::Duration;

use thiserror::Error;

use crate::ControlSettings;
use crate::ControllerSettings;
use crate::GateSettings;
use crate::LimitSettings;
use crate::TOKEN_HASH_PREFIX;
use crate::is_token_hash;

/// Minimum term of a lease; a shorter one leaves its holder no time to act.
const MIN_LEASE_TERM: Duration = Duration::from_secs(1);

/// Minimum value of the limit on a request's header section, in bytes.
const MIN_HEADER_LIMIT_BYTES: usize = 1024;

/// An invalid setting; the message names its key and the accepted values.
#[derive(Clone, Debug, displaydoc::Display, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// `{0}` is zero; it must be positive
    Zero(&'static str),
    /// `{0}` is too small; it must be at least {1}
    TooSmall(&'static str, String),
    /// `{0}` must be less than `{1}`
    NotLess(&'static str, &'static str),
    /// `{0}` is empty; it must hold at least one address
    Empty(&'static str),
    /// `operator_tokens` holds something other than a SHA-256 hash; `hawthornctl hash-token` prints
    /// one
    TokenHash,
}

impl ControllerSettings {
    /// Validates the settings and their combination.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsError`] found.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.control.check()?;
        let is_hash = |text: &String| {
            let digits = text.strip_prefix(TOKEN_HASH_PREFIX).unwrap_or(text);
            is_token_hash(digits)
        };
        if self.operator_tokens.iter().all(is_hash) {
            Ok(())
        } else {
            Err(SettingsError::TokenHash)
        }
    }

    /// Returns the hashes of the operators' tokens, without prefix.
    pub(crate) fn token_hashes(&self) -> Vec<String> {
        let without_prefix = |text: &String| {
            text.strip_prefix(TOKEN_HASH_PREFIX)
                .unwrap_or(text)
                .to_owned()
        };
        self.operator_tokens.iter().map(without_prefix).collect()
    }
}

impl ControlSettings {
    fn check(&self) -> Result<(), SettingsError> {
        require_nonzero("control.gossip", !self.gossip.is_zero())?;
        require_nonzero("control.probe", !self.probe.is_zero())?;
        require_nonzero("control.checkpoint", self.checkpoint > 0)?;
        require_nonzero("control.checkpoint_age", !self.checkpoint_age.is_zero())?;
        if self.probe >= self.suspicion {
            return Err(SettingsError::NotLess("control.probe", "control.suspicion"));
        }
        if self.term < MIN_LEASE_TERM {
            let minimum = format!("{} ms", MIN_LEASE_TERM.as_millis());
            return Err(SettingsError::TooSmall("control.term", minimum));
        }
        if self.margin * 2 >= self.term {
            return Err(SettingsError::NotLess(
                "twice control.margin",
                "control.term",
            ));
        }
        Ok(())
    }
}

impl GateSettings {
    /// Validates the settings and their combination.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsError`] found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.controllers.is_empty() {
            return Err(SettingsError::Empty("controllers"));
        }
        require_nonzero("routing.concurrency", self.routing.concurrency > 0)?;
        self.limits.check()
    }
}

impl LimitSettings {
    fn check(&self) -> Result<(), SettingsError> {
        require_nonzero("limits.body", self.body > 0)?;
        require_nonzero("limits.connections", self.connections > 0)?;
        require_nonzero("limits.requests", self.requests > 0)?;
        require_nonzero("limits.receive", !self.receive.is_zero())?;
        require_nonzero("limits.progress", !self.progress.is_zero())?;
        if self.headers < MIN_HEADER_LIMIT_BYTES {
            let minimum = format!("{MIN_HEADER_LIMIT_BYTES} bytes");
            return Err(SettingsError::TooSmall("limits.headers", minimum));
        }
        Ok(())
    }
}

fn require_nonzero(key: &'static str, is_nonzero: bool) -> Result<(), SettingsError> {
    if is_nonzero {
        Ok(())
    } else {
        Err(SettingsError::Zero(key))
    }
}
