//! Metrics of a process, exported in the Prometheus text format.

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
const INSTRUMENTATION_SCOPE: &str = "hawthornrack";

/// Upper bounds of the request duration buckets, in seconds.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 0.96, 2.0, 5.0, 15.0, 60.0,
];

/// Meter provider of a process and the Prometheus registry that it exports to.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates a provider and a registry without instruments.
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

    /// Returns the meter for creating instruments.
    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter(INSTRUMENTATION_SCOPE)
    }

    /// Returns all metrics in the Prometheus text format, or an empty string if encoding fails.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    /// Registers a counter whose value is read at each export.
    pub(crate) fn register_counter(
        &self,
        name: &'static str,
        unit: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter()
            .u64_observable_counter(name)
            .with_unit(unit)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Registers a gauge whose value is read at each export.
    pub(crate) fn register_gauge(
        &self,
        name: &'static str,
        unit: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter()
            .u64_observable_gauge(name)
            .with_unit(unit)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }
}

/// Metrics of callers' requests.
#[derive(Debug)]
pub(crate) struct RequestMetrics {
    responses: Counter<u64>,
    duration: Histogram<f64>,
    in_target: Counter<u64>,
}

impl RequestMetrics {
    /// Registers the instruments.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            responses: meter
                .u64_counter("http.server.request.count")
                .with_unit("{request}")
                .build(),
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_boundaries(DURATION_BUCKETS_S.to_vec())
                .build(),
            in_target: meter
                .u64_counter("hawthornrack.request.in_target")
                .with_unit("{request}")
                .build(),
        }
    }

    /// Records a response whose head was ready after `seconds`.
    ///
    /// `in_target` says whether that was within the service's response time target; server errors
    /// never count as in target.
    pub(crate) fn record_response(
        &self,
        status: u16,
        service: &str,
        seconds: f64,
        in_target: bool,
    ) {
        let service = KeyValue::new("service", service.to_owned());
        let labels = [
            service.clone(),
            KeyValue::new("http.response.status_code", i64::from(status)),
        ];
        self.responses.add(1, &labels);
        self.duration.record(seconds, &labels[..1]);
        if in_target && status < 500 {
            self.in_target.add(1, &[service]);
        }
    }
}
