//! Changes of the live facts between two messages to a gate.

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

/// What changed of the live facts; a part that is `None` did not change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LiveDelta {
    /// Whether this is the first message, which holds everything.
    pub whole: bool,
    /// All entry VMs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<IndexMap<NodeName, Member>>,
    /// All machines under notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<IndexMap<VmName, Timestamp>>,
    /// All stopped versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stops: Option<IndexMap<MoveName, Stop>>,
    /// Steps of all running moves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steps: Option<IndexMap<MoveName, Step>>,
    /// All crash counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crashes: Option<IndexMap<u64, u32>>,
    /// Rows of evidence that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<EvidenceRow>,
    /// Oldest evidence window that is kept.
    pub window: u64,
}

impl LiveDelta {
    /// Returns what changed from `old` to `new`; with no `old`, everything.
    pub fn between(old: Option<&LiveView>, new: &LiveView) -> Self {
        let window = new.evidence.iter().map(|row| row.key.window).min();
        Self {
            whole: old.is_none(),
            members: changed(old.map(|o| &o.members), &new.members),
            leaving: changed(old.map(|o| &o.leaving), &new.leaving),
            stops: changed(old.map(|o| &o.stops), &new.stops),
            steps: changed(old.map(|o| &o.steps), &new.steps),
            crashes: changed(old.map(|o| &o.crashes), &new.crashes),
            evidence: changed_rows(old, new),
            window: window.unwrap_or(u64::MAX),
        }
    }
}

impl LiveView {
    /// Applies a change.
    ///
    /// A first message comes from a controller that may not have heard of everything yet, so
    /// it takes back no notice, stop or crash.
    pub fn apply(&mut self, delta: LiveDelta) {
        if let Some(members) = delta.members {
            self.members = members;
        }
        if let Some(mut leaving) = delta.leaving {
            keep_missing(&mut leaving, &self.leaving, delta.whole);
            self.leaving = leaving;
        }
        if let Some(mut stops) = delta.stops {
            keep_missing(&mut stops, &self.stops, delta.whole);
            self.stops = stops;
        }
        if let Some(mut steps) = delta.steps {
            keep_missing(&mut steps, &self.steps, delta.whole);
            self.steps = steps;
        }
        if let Some(mut crashes) = delta.crashes {
            keep_missing(&mut crashes, &self.crashes, delta.whole);
            self.crashes = crashes;
        }
        if delta.whole {
            self.evidence = delta.evidence;
            return;
        }
        self.evidence.retain(|row| row.key.window >= delta.window);
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

fn keep_missing<K, V>(new: &mut IndexMap<K, V>, known: &IndexMap<K, V>, whole: bool)
where
    K: Clone + Eq + std::hash::Hash,
    V: Clone,
{
    if !whole {
        return;
    }
    for (key, value) in known {
        new.entry(key.clone()).or_insert_with(|| value.clone());
    }
}
