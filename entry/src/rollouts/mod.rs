//! Rollouts of versions: stages, evidence and exposure bounds.

pub(crate) mod rollback;
pub(crate) mod rollout;
pub(crate) mod rollout_driver;
pub(crate) mod rollout_evidence;
pub(crate) mod rollout_outcomes;
pub(crate) mod rollout_plan;
pub(crate) mod rollout_survival;
