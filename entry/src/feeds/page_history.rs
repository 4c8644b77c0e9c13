//! Pages of the endpoint list that a reader has passed on lately.

use std::collections::VecDeque;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::EndpointId;
use crate::EndpointPage;
use crate::EndpointRecord;

/// Number of earlier pages whose changes are repeated in each page. An entry may miss this many in a row, about
/// 3 s of them in a large system, without reading the list again: while links are full, hundreds of entries that
/// miss pages at the same time would read 1 MB each.
const MAX_REPEATED_PAGES: usize = 7;

/// Maximum number of changes that are repeated.
const MAX_REPEATED_CHANGES: usize = 500;

/// Pages that were passed on, the newest one last; each continues the one before it.
#[derive(Debug, Default)]
pub(crate) struct PageHistory(Mutex<VecDeque<EndpointPage>>);

impl PageHistory {
    /// Adds a page, and returns it with the changes of the pages before it.
    pub(crate) fn extend(&self, page: EndpointPage) -> EndpointPage {
        let mut pages = self.0.lock();
        let is_continued = pages
            .back()
            .is_none_or(|last| last.era == page.era && last.to == page.from);
        if !is_continued {
            pages.clear();
        }
        pages.push_back(page);
        while pages.len() > MAX_REPEATED_PAGES + 1 || has_too_many_changes(&pages) {
            pages.pop_front();
        }
        merge(&pages)
    }
}

fn has_too_many_changes(pages: &VecDeque<EndpointPage>) -> bool {
    let repeated = pages.iter().rev().skip(1);
    let changes = repeated.map(|page| page.records.len() + page.removed.len());
    changes.sum::<usize>() > MAX_REPEATED_CHANGES
}

/// Returns one page with the newest change of each endpoint.
fn merge(pages: &VecDeque<EndpointPage>) -> EndpointPage {
    let mut changes: IndexMap<EndpointId, Option<EndpointRecord>> = IndexMap::new();
    for page in pages {
        let records = page.records.iter();
        changes.extend(records.map(|record| (record.id.clone(), Some(record.clone()))));
        changes.extend(page.removed.iter().map(|id| (id.clone(), None)));
    }
    let mut merged = EndpointPage {
        from: pages[0].from,
        records: Vec::new(),
        removed: Vec::new(),
        ..pages[pages.len() - 1].clone()
    };
    for (id, change) in changes {
        match change {
            Some(record) => merged.records.push(record),
            None => merged.removed.push(id),
        }
    }
    merged
}
