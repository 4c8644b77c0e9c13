//! Facts that change without the log, as this node knows them.

use std::sync::Arc;

use tokio::sync::watch;

use crate::GateInfo;
use crate::LiveView;
use crate::Member;
use crate::NodeName;
use crate::Timestamp;
use crate::VmName;

/// The live facts known at this node.
#[derive(Debug)]
pub(crate) struct LiveStore {
    view: watch::Sender<Arc<LiveView>>,
}

impl LiveStore {
    pub(crate) fn new() -> Self {
        Self {
            view: watch::Sender::new(Arc::default()),
        }
    }

    /// Returns the current view.
    pub(crate) fn view(&self) -> Arc<LiveView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns a receiver of every later view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<LiveView>> {
        self.view.subscribe()
    }

    /// Records this node as a member.
    pub(crate) fn put_member(&self, member: Member) {
        self.change(|view| {
            view.members.insert(member.node.clone(), member);
        });
    }

    /// Records the gate attached to a node, or its absence.
    pub(crate) fn put_gate(&self, node: &NodeName, gate: Option<GateInfo>) {
        self.change(|view| {
            if let Some(member) = view.members.get_mut(node) {
                member.gate = gate;
            }
        });
    }

    /// Records that a machine is under notice; a notice is never taken back.
    pub(crate) fn mark_leaving(&self, vm: VmName, deadline: Timestamp) {
        self.change(|view| {
            view.leaving.entry(vm).or_insert(deadline);
        });
    }

    fn change(&self, update: impl FnOnce(&mut LiveView)) {
        self.view.send_if_modified(|view| {
            let mut next = LiveView::clone(view);
            update(&mut next);
            let changed = next != **view;
            if changed {
                *view = Arc::new(next);
            }
            changed
        });
    }
}
