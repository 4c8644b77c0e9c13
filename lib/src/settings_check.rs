//! Checks of settings beyond their types.

use std::time::Duration;

use thiserror::Error;

use crate::ControlSettings;
use crate::ControllerSettings;
use crate::GateSettings;
use crate::LimitSettings;
use crate::TOKEN_HASH_PREFIX;
use crate::is_token_hash;

/// Shortest term that leaves the holder of a lease time to act.
const MIN_TERM: Duration = Duration::from_secs(1);

/// Smallest limit on a header section, in bytes.
const MIN_HEADERS: usize = 1024;

/// A setting whose value cannot work.
#[derive(Clone, Debug, displaydoc::Display, Eq, Error, PartialEq)]
pub enum SettingsFault {
    /// `{0}` is zero; it must be more
    Zero(&'static str),
    /// `{0}` is too small; it must be at least {1}
    TooSmall(&'static str, String),
    /// `{0}` must be less than `{1}`
    NotLess(&'static str, &'static str),
    /// `{0}` is empty; it must hold at least one address
    Empty(&'static str),
    /// `operator_tokens` holds something other than a SHA-256 hash; `hawthornctl hash-token` prints one
    TokenHash,
}

impl ControllerSettings {
    /// Checks that the settings can work together.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsFault`], which names the key and what would be right.
    pub fn check(&self) -> Result<(), SettingsFault> {
        self.control.check()?;
        let is_hash = |text: &String| {
            let digits = text.strip_prefix(TOKEN_HASH_PREFIX).unwrap_or(text);
            is_token_hash(digits)
        };
        if self.operator_tokens.iter().all(is_hash) {
            Ok(())
        } else {
            Err(SettingsFault::TokenHash)
        }
    }

    /// Returns the hashes of the operators' tokens without their prefix.
    pub(crate) fn token_hashes(&self) -> Vec<String> {
        let bare = |text: &String| {
            text.strip_prefix(TOKEN_HASH_PREFIX)
                .unwrap_or(text)
                .to_owned()
        };
        self.operator_tokens.iter().map(bare).collect()
    }
}

impl ControlSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        not_zero("control.gossip", !self.gossip.is_zero())?;
        not_zero("control.probe", !self.probe.is_zero())?;
        not_zero("control.checkpoint", self.checkpoint > 0)?;
        not_zero("control.checkpoint_age", !self.checkpoint_age.is_zero())?;
        if self.probe >= self.suspicion {
            return Err(SettingsFault::NotLess("control.probe", "control.suspicion"));
        }
        if self.term < MIN_TERM {
            let least = format!("{} ms", MIN_TERM.as_millis());
            return Err(SettingsFault::TooSmall("control.term", least));
        }
        if self.margin * 2 >= self.term {
            return Err(SettingsFault::NotLess(
                "twice control.margin",
                "control.term",
            ));
        }
        Ok(())
    }
}

impl GateSettings {
    /// Checks that the settings can work together.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsFault`], which names the key and what would be right.
    pub fn check(&self) -> Result<(), SettingsFault> {
        if self.controllers.is_empty() {
            return Err(SettingsFault::Empty("controllers"));
        }
        not_zero("routing.concurrency", self.routing.concurrency > 0)?;
        self.limits.check()
    }
}

impl LimitSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        not_zero("limits.body", self.body > 0)?;
        not_zero("limits.connections", self.connections > 0)?;
        not_zero("limits.requests", self.requests > 0)?;
        not_zero("limits.receive", !self.receive.is_zero())?;
        not_zero("limits.progress", !self.progress.is_zero())?;
        if self.headers < MIN_HEADERS {
            let least = format!("{MIN_HEADERS} bytes");
            return Err(SettingsFault::TooSmall("limits.headers", least));
        }
        Ok(())
    }
}

fn not_zero(key: &'static str, is_more: bool) -> Result<(), SettingsFault> {
    if is_more {
        Ok(())
    } else {
        Err(SettingsFault::Zero(key))
    }
}
