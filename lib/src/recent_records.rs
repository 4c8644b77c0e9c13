//! Bounded buffer of a stream's newest records, from which they are relayed to peers.

use std::collections::VecDeque;

use parking_lot::Mutex;

use crate::Offset;
use crate::Record;

/// Maximum number of buffered records.
const RECORD_CAPACITY: usize = 1024;

/// Newest records of a stream, with contiguous offsets.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    records: Mutex<VecDeque<Record>>,
}

impl RecentRecords {
    /// Adds a record; one that is older than the next expected offset is ignored.
    ///
    /// A record beyond the expected offset discards the buffered ones.
    pub(crate) fn push(&self, record: &Record) {
        let mut records = self.records.lock();
        let expected = records.back().map(|r| r.offset.next());
        if expected.is_some_and(|e| e != record.offset) {
            if expected.is_some_and(|e| e > record.offset) {
                return;
            }
            // An installed snapshot leaves a gap; only contiguous records can be relayed.
            records.clear();
        }
        records.push_back(record.clone());
        if records.len() > RECORD_CAPACITY {
            records.pop_front();
        }
    }

    /// Returns the records from `from` on, or `None` when some of them are no longer buffered.
    ///
    /// `next` is the offset of the next record of the stream.
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
