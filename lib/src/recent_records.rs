//! The newest records of a stream, kept to be relayed to peers.

use std::collections::VecDeque;

use parking_lot::Mutex;

use crate::Offset;
use crate::Record;

/// Records kept.
const RECORDS_KEPT: usize = 1024;

/// The newest records of a stream, contiguous by offset.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    records: Mutex<VecDeque<Record>>,
}

impl RecentRecords {
    /// Adds the record that follows the newest one; any other is ignored.
    pub(crate) fn push(&self, record: &Record) {
        let mut records = self.records.lock();
        let expected = records.back().map(|r| r.offset.next());
        if expected.is_some_and(|e| e != record.offset) {
            // A gap follows an installed snapshot; only a contiguous run can be relayed.
            if expected.is_some_and(|e| e > record.offset) {
                return;
            }
            records.clear();
        }
        records.push_back(record.clone());
        if records.len() > RECORDS_KEPT {
            records.pop_front();
        }
    }

    /// Returns the records from `from` on, or `None` when some of them are not kept.
    pub(crate) fn since(&self, from: Offset, next: Offset) -> Option<Vec<Record>> {
        if from >= next {
            return Some(Vec::new());
        }
        let records = self.records.lock();
        let first = records.front()?.offset;
        (first <= from).then(|| {
            records
                .iter()
                .filter(|r| r.offset >= from)
                .cloned()
                .collect()
        })
    }
}
