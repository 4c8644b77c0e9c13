//! Differences between the live views in two successive messages to a gate.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::EvidenceKey;
use crate::EvidenceRow;
use crate::LiveView;
use crate::Member;
use crate::MoveName;
use crate::NodeName;
use crate::Step;
use crate::Stop;
use crate::Timestamp;
use crate::VmName;

/// Difference between two live views; fields that are `None` are unchanged.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveDelta {
    /// Whether this is the first message of a subscription, which contains the complete view.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// All entry VMs by node name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<IndexMap<NodeName, Member>>,
    /// Deadlines of all VMs with a reclaim notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<IndexMap<VmName, Timestamp>>,
    /// All stopped versions, by move.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stops: Option<IndexMap<MoveName, Stop>>,
    /// Steps of all running moves, by move.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steps: Option<IndexMap<MoveName, Step>>,
    /// All endpoint crash counts, by request digest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crashes: Option<IndexMap<u64, u32>>,
    /// Evidence rows that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<EvidenceRow>,
    /// Oldest evidence window to retain; earlier rows are dropped.
    #[serde(rename = "window")]
    pub oldest_window: u64,
}

impl LiveDelta {
    /// Returns the difference from `old` to `new`, or the complete view if `old` is `None`.
    pub fn between(old: Option<&LiveView>, new: &LiveView) -> Self {
        let oldest_window = new.evidence.iter().map(|row| row.key.window).min();
        Self {
            is_complete: old.is_none(),
            members: changed(old.map(|o| &o.members), &new.members),
            leaving: changed(old.map(|o| &o.leaving), &new.leaving),
            stops: changed(old.map(|o| &o.stops), &new.stops),
            steps: changed(old.map(|o| &o.steps), &new.steps),
            crashes: changed(old.map(|o| &o.crashes), &new.crashes),
            evidence: changed_rows(old, new),
            oldest_window: oldest_window.unwrap_or(u64::MAX),
        }
    }
}

impl LiveView {
    /// Applies a difference to this view.
    ///
    /// The first message of a subscription may come from a controller that has not received all
    /// facts yet, so it removes no notice, stop, step or crash that is already known.
    pub fn apply(&mut self, delta: LiveDelta) {
        if let Some(members) = delta.members {
            self.members = members;
        }
        if let Some(mut leaving) = delta.leaving {
            retain_known(&mut leaving, &self.leaving, delta.is_complete);
            self.leaving = leaving;
        }
        if let Some(mut stops) = delta.stops {
            retain_known(&mut stops, &self.stops, delta.is_complete);
            self.stops = stops;
        }
        if let Some(mut steps) = delta.steps {
            retain_known(&mut steps, &self.steps, delta.is_complete);
            self.steps = steps;
        }
        if let Some(mut crashes) = delta.crashes {
            retain_known(&mut crashes, &self.crashes, delta.is_complete);
            self.crashes = crashes;
        }
        if delta.is_complete {
            self.evidence = delta.evidence;
            return;
        }
        self.evidence
            .retain(|row| row.key.window >= delta.oldest_window);
        let mut rows: IndexMap<EvidenceKey, EvidenceRow> = std::mem::take(&mut self.evidence)
            .into_iter()
            .map(|row| (row.key.clone(), row))
            .collect();
        rows.extend(delta.evidence.into_iter().map(|row| (row.key.clone(), row)));
        self.evidence = rows.into_values().collect();
    }
}

fn changed<T>(old: Option<&T>, new: &T) -> Option<T>
where
    T: Clone + PartialEq,
{
    (old != Some(new)).then(|| new.clone())
}

fn changed_rows(old: Option<&LiveView>, new: &LiveView) -> Vec<EvidenceRow> {
    let known: IndexMap<&EvidenceKey, &EvidenceRow> = old
        .into_iter()
        .flat_map(|o| &o.evidence)
        .map(|row| (&row.key, row))
        .collect();
    let is_new = |row: &&EvidenceRow| known.get(&row.key) != Some(row);
    new.evidence.iter().filter(is_new).cloned().collect()
}

fn retain_known<K, V>(new: &mut IndexMap<K, V>, known: &IndexMap<K, V>, is_complete: bool)
where
    K: Clone + Eq + std::hash::Hash,
    V: Clone,
{
    if !is_complete {
        return;
    }
    for (key, value) in known {
        new.entry(key.clone()).or_insert_with(|| value.clone());
    }
}
