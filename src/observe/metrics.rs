//! OpenTelemetry metrics of requests, retries and control traffic.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::AggregatedMetrics;
use opentelemetry_sdk::metrics::data::MetricData;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::InstrumentKind;
use opentelemetry_sdk::metrics::ManualReader;
use opentelemetry_sdk::metrics::Pipeline;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Temporality;

use crate::codes::ResultCode;

/// Metric reader shared by the provider and the `/metrics` endpoint.
#[derive(Debug, Clone)]
struct SharedReader {
    inner: Arc<ManualReader>,
}

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.inner.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.inner.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.inner.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.inner.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.inner.temporality(kind)
    }
}

/// The metric instruments of one daemon.
#[derive(Debug)]
pub struct DaemonMetrics {
    provider: SdkMeterProvider,
    reader: SharedReader,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    retries: Counter<u64>,
    control_messages: Counter<u64>,
    control_bytes: Counter<u64>,
}

impl DaemonMetrics {
    /// Creates the instruments.
    pub fn start() -> Self {
        let reader = SharedReader {
            inner: Arc::new(ManualReader::default()),
        };
        let provider = SdkMeterProvider::builder()
            .with_reader(reader.clone())
            .build();
        let meter = provider.meter("marigoldhatch");
        Self {
            requests: meter.u64_counter("marigoldhatch.requests").build(),
            request_seconds: meter.f64_histogram("marigoldhatch.request.seconds").build(),
            retries: meter.u64_counter("marigoldhatch.retries").build(),
            control_messages: meter.u64_counter("marigoldhatch.control.messages").build(),
            control_bytes: meter.u64_counter("marigoldhatch.control.bytes").build(),
            provider,
            reader,
        }
    }

    /// Records a caller's request with its result and latency.
    pub fn record_request(
        &self,
        organisation: &str,
        service: &str,
        code: ResultCode,
        elapsed: Duration,
    ) {
        let labels = [
            KeyValue::new("organisation", organisation.to_string()),
            KeyValue::new("service", service.to_string()),
            KeyValue::new("result", i64::from(code.number())),
        ];
        self.requests.add(1, &labels);
        self.request_seconds
            .record(elapsed.as_secs_f64(), &labels[..2]);
    }

    /// Counts a retry.
    pub fn record_retry(&self, service: &str) {
        self.retries
            .add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Counts a control message that was sent or received, and its size.
    pub fn record_control_message(&self, kind: &'static str, bytes: usize) {
        let labels = [KeyValue::new("kind", kind)];
        self.control_messages.add(1, &labels);
        self.control_bytes.add(bytes as u64, &labels);
    }

    /// Renders all metrics as text, one data point a line.
    pub fn render(&self) -> String {
        let mut metrics = ResourceMetrics::default();
        let mut text = String::new();
        if self.reader.collect(&mut metrics).is_err() {
            return text;
        }
        for scope in metrics.scope_metrics() {
            for metric in scope.metrics() {
                render_metric(&mut text, metric.name(), metric.data());
            }
        }
        text
    }

    /// Shuts the meter provider down.
    pub fn close(self) {
        // Nothing is exported, so a failed shutdown loses no data.
        let _ = self.provider.shutdown();
    }
}

fn render_metric(text: &mut String, name: &str, data: &AggregatedMetrics) {
    match data {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => {
            for point in sum.data_points() {
                render_point(text, name, point.attributes(), &point.value().to_string());
            }
        }
        AggregatedMetrics::F64(MetricData::Histogram(histogram)) => {
            for point in histogram.data_points() {
                let count = point.count().to_string();
                let sum = point.sum().to_string();
                let labels: Vec<&KeyValue> = point.attributes().collect();
                render_point(
                    text,
                    &format!("{name}.count"),
                    labels.iter().copied(),
                    &count,
                );
                render_point(text, &format!("{name}.sum"), labels.iter().copied(), &sum);
                render_buckets(text, name, point.bounds(), point.bucket_counts(), &labels);
            }
        }
        _ => {}
    }
}

/// Renders cumulative buckets, as the Prometheus text format requires.
fn render_buckets(
    text: &mut String,
    name: &str,
    bounds: impl Iterator<Item = f64>,
    counts: impl Iterator<Item = u64>,
    labels: &[&KeyValue],
) {
    let mut total = 0;
    let bounds = bounds.chain(std::iter::once(f64::INFINITY));
    for (bound, count) in bounds.zip(counts) {
        total += count;
        let bound = if bound.is_finite() {
            bound.to_string()
        } else {
            "+Inf".to_owned()
        };
        let bound = KeyValue::new("le", bound);
        let labels = labels.iter().copied().chain(std::iter::once(&bound));
        render_point(text, &format!("{name}.bucket"), labels, &total.to_string());
    }
}

fn render_point<'a>(
    text: &mut String,
    name: &str,
    labels: impl Iterator<Item = &'a KeyValue>,
    value: &str,
) {
    let labels: Vec<String> = labels
        .map(|label| format!("{}=\"{}\"", label.key, label.value))
        .collect();
    // The Prometheus text format allows no dots in names. Writing to a string can't fail.
    let name = name.replace('.', "_");
    let _ = writeln!(text, "{name}{{{}}} {value}", labels.join(","));
}
