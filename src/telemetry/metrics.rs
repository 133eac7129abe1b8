//! Prometheus metrics with bounded label sets.

use std::cell::RefCell;
use std::fmt;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::kv::budget::CallCounts;

/// Most distinct values of the labels `account` and `class` together; further ones are counted under `other`.
///
/// With ten accounts and ten classes a process exports about a thousand series.
const MAX_LABEL_VALUES: usize = 64;

/// Label value that stands for all values beyond [`MAX_LABEL_VALUES`].
const OTHER: &str = "other";

/// Upper bounds of the histogram buckets, in seconds; 0.075 and 2 are the bounds of the latency targets.
const LATENCY_BOUNDS_S: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.075, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0, 15.0, 60.0,
];

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    /// Requests by account, class and outcome code.
    requests: IntCounterVec,
    /// Seconds from arrival to the end of the answer, by account and class.
    duration: HistogramVec,
    /// Seconds from arrival to the first byte, by account and class.
    first_byte: HistogramVec,
    /// Longest time, in seconds, for which the store may have known of a departure before this process did, by
    /// kind of departure.
    departure_notice_age: HistogramVec,
    /// Events by name, such as calls to the key-value service.
    events: IntCounterVec,
    /// Current values by name.
    values: IntGaugeVec,
    /// Distinct label values so far, sorted.
    labels: RefCell<Vec<String>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::open()
    }
}

impl Metrics {
    /// Creates the metrics of a process.
    ///
    /// # Panics
    /// Never: all names are constant and distinct.
    #[must_use]
    pub fn open() -> Self {
        let registry = Registry::new();
        let by_account = ["account", "class"];
        let requests = IntCounterVec::new(
            Opts::new(
                "fireflywind_requests_total",
                "Requests by account, class and outcome.",
            ),
            &["account", "class", "outcome"],
        );
        let duration = histogram(
            "fireflywind_request_seconds",
            "Arrival to end of the answer.",
        );
        let first = histogram(
            "fireflywind_first_byte_seconds",
            "Arrival to the first byte.",
        );
        let departure_notice_age = histogram(
            "fireflywind_leaving_word_age_seconds",
            "Longest age of the store's word that an upstream leaves, when it was taken in.",
        );
        let events = IntCounterVec::new(
            Opts::new("fireflywind_events_total", "Events by name."),
            &["event"],
        );
        let values = IntGaugeVec::new(
            Opts::new("fireflywind_value", "Current values by name."),
            &["name"],
        );
        let metrics = Self {
            registry,
            requests: requests.expect("the name is valid"),
            duration: HistogramVec::new(duration, &by_account).expect("the name is valid"),
            first_byte: HistogramVec::new(first, &by_account).expect("the name is valid"),
            departure_notice_age: HistogramVec::new(departure_notice_age, &["word"])
                .expect("the name is valid"),
            events: events.expect("the name is valid"),
            values: values.expect("the name is valid"),
            labels: RefCell::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let register = |collector: Box<dyn prometheus::core::Collector>| {
            self.registry
                .register(collector)
                .expect("the names are distinct");
        };
        register(Box::new(self.requests.clone()));
        register(Box::new(self.duration.clone()));
        register(Box::new(self.first_byte.clone()));
        register(Box::new(self.departure_notice_age.clone()));
        register(Box::new(self.events.clone()));
        register(Box::new(self.values.clone()));
    }

    /// Counts a finished request and its duration in seconds.
    pub fn record_request(&self, account: &str, class: &str, outcome: &str, seconds: f64) {
        let (account, class) = (self.label(account), self.label(class));
        self.requests
            .with_label_values(&[account.as_str(), class.as_str(), outcome])
            .inc();
        self.duration
            .with_label_values(&[account, class])
            .observe(seconds);
    }

    /// Records the time to the first byte of an answer, in seconds.
    pub fn first_byte(&self, account: &str, class: &str, seconds: f64) {
        let labels = [self.label(account), self.label(class)];
        self.first_byte.with_label_values(&labels).observe(seconds);
    }

    /// Records the longest time for which the store may have known of a departure before this process did, in
    /// seconds.
    pub fn departure_notice_age(&self, kind: &'static str, seconds: f64) {
        self.departure_notice_age
            .with_label_values(&[kind])
            .observe(seconds);
    }

    /// Counts an event; the name is a constant, so that the label set is bounded.
    pub fn count_event(&self, name: &'static str) {
        self.events.with_label_values(&[name]).inc();
    }

    /// Sets a gauge; the name is a constant, so that the label set is bounded.
    pub fn set_gauge(&self, name: &'static str, value: i64) {
        self.values.with_label_values(&[name]).set(value);
    }

    /// Sets the gauges of the calls to the key-value service so far.
    pub fn set_call_counts(&self, counts: CallCounts) {
        let value = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.set_gauge("kv_reads", value(counts.reads));
        self.set_gauge("kv_writes", value(counts.writes));
        self.set_gauge("kv_reads_refused", value(counts.refused_reads));
        self.set_gauge("kv_writes_refused", value(counts.refused_writes));
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(error) => format!("# metrics cannot be encoded: {error}\n"),
        }
    }

    /// Returns the value itself, or [`OTHER`] once [`MAX_LABEL_VALUES`] other values are in use.
    ///
    /// Bounds the number of series that callers and sheets can create.
    fn label(&self, value: &str) -> String {
        let mut labels = self.labels.borrow_mut();
        match labels.binary_search_by(|known| known.as_str().cmp(value)) {
            Ok(_) => value.to_owned(),
            Err(at) if labels.len() < MAX_LABEL_VALUES => {
                labels.insert(at, value.to_owned());
                value.to_owned()
            }
            Err(_) => OTHER.to_owned(),
        }
    }
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_S.to_vec())
}
