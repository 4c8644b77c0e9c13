//! Metrics of an entry.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::Feed;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Counters and histograms of requests and sends.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: Counter<u64>,
    latency: Histogram<f64>,
    sends: Counter<u64>,
    shutdown: Counter<u64>,
    limited: Counter<u64>,
    contact: Counter<u64>,
    feed_reads: Counter<u64>,
    caller_limits: Counter<u64>,
    feed_latency: Histogram<f64>,
}

impl Metrics {
    /// Registers the instruments with a meter.
    pub fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("hawthornrack_requests")
                .with_description("Requests answered, by outcome")
                .build(),
            latency: meter
                .f64_histogram("hawthornrack_request_seconds")
                .with_description("Time until the whole answer or a stream's first event")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build(),
            sends: meter
                .u64_counter("hawthornrack_sends")
                .with_description("Sends to endpoints, by outcome")
                .build(),
            shutdown: meter
                .u64_counter("hawthornrack_shutdown_requests")
                .with_description("Requests during graceful shutdown, by outcome")
                .build(),
            limited: meter
                .u64_counter("hawthornrack_limited_requests")
                .with_description(
                    "Requests for endpoints that have stated a rate limit, by outcome",
                )
                .build(),
            contact: meter
                .u64_counter("hawthornrack_endpoint_contact")
                .with_description("Changes of the contact with endpoints, by kind")
                .build(),
            feed_reads: meter
                .u64_counter("hawthornrack_feed_reads")
                .with_description("Reads of the lists in the store, by list and outcome")
                .build(),
            caller_limits: meter
                .u64_counter("hawthornrack_caller_limits")
                .with_description("Requests and connections that the budget had no room for")
                .build(),
            feed_latency: meter
                .f64_histogram("hawthornrack_feed_read_seconds")
                .with_description("Time until such a read ended, its wait included")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build(),
        }
    }

    /// Counts a read of a feed by outcome and records how long it took.
    pub(crate) fn record_feed_read(&self, feed: Feed, outcome: &'static str, took: Duration) {
        let feed = KeyValue::new("feed", feed.name());
        let outcome = KeyValue::new("outcome", outcome);
        self.feed_reads.add(1, &[feed.clone(), outcome]);
        self.feed_latency.record(took.as_secs_f64(), &[feed]);
    }

    /// Counts requests or connections of callers that were refused or closed for want of room.
    pub(crate) fn record_caller_limit(&self, reason: &'static str, count: u64) {
        let reason = KeyValue::new("reason", reason);
        self.caller_limits.add(count, &[reason]);
    }

    /// Counts a change of the contact with endpoints.
    pub fn record_contact(&self, change: &'static str) {
        self.contact.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a request by outcome and records its latency.
    pub fn record_request(&self, outcome: &'static str, latency: Duration) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.latency.record(latency.as_secs_f64(), &[]);
    }

    /// Counts a request during graceful shutdown by what became of it.
    pub fn record_shutdown(&self, outcome: &'static str) {
        self.shutdown.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request for an endpoint that has stated a rate limit by what became of it.
    pub fn record_limited(&self, outcome: &'static str) {
        self.limited.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a send to an endpoint by outcome.
    pub fn record_send(&self, outcome: &'static str) {
        self.sends.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}
