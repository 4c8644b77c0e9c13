//! Metrics of a process, read as Prometheus text.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::Error;
use crate::ErrorKind;
use crate::Result;

/// Name of the instrumentation scope.
const SCOPE: &str = "hawthornrack";

/// Upper bounds of the duration buckets, in seconds.
const DURATION_BOUNDS: [f64; 12] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 0.96, 2.0, 5.0, 15.0, 60.0,
];

/// Instruments of a process and the registry that they are read from.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty set of instruments.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Internal`] when the exporter cannot be registered.
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that makes instruments.
    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Returns all readings as Prometheus text.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    /// Makes a counter whose value is read when the metrics are.
    pub(crate) fn observe_total(
        &self,
        name: &'static str,
        unit: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter()
            .u64_observable_counter(name)
            .with_unit(unit)
            .with_callback(move |reading| reading.observe(read(), &[]))
            .build();
    }

    /// Makes a gauge whose value is read when the metrics are.
    pub(crate) fn observe_level(
        &self,
        name: &'static str,
        unit: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter()
            .u64_observable_gauge(name)
            .with_unit(unit)
            .with_callback(move |reading| reading.observe(read(), &[]))
            .build();
    }
}

/// Instruments for callers' requests.
#[derive(Debug)]
pub(crate) struct RequestMetrics {
    answered: Counter<u64>,
    duration: Histogram<f64>,
    in_target: Counter<u64>,
}

impl RequestMetrics {
    /// Makes the instruments.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            answered: meter
                .u64_counter("http.server.request.count")
                .with_unit("{request}")
                .build(),
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_boundaries(DURATION_BOUNDS.to_vec())
                .build(),
            in_target: meter
                .u64_counter("hawthornrack.request.in_target")
                .with_unit("{request}")
                .build(),
        }
    }

    /// Counts an answer whose head was ready after `seconds`.
    pub(crate) fn answered(&self, status: u16, service: &str, seconds: f64, in_target: bool) {
        let service = KeyValue::new("service", service.to_owned());
        let labels = [
            service.clone(),
            KeyValue::new("http.response.status_code", i64::from(status)),
        ];
        self.answered.add(1, &labels);
        self.duration.record(seconds, &labels[..1]);
        if in_target && status < 500 {
            self.in_target.add(1, &[service]);
        }
    }
}
