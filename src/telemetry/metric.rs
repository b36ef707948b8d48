//! Histograms for each client account or class, and counters, in Prometheus text.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use metrics::{
    Counter, Gauge, Histogram, Key, KeyName, Label, Level, Metadata, Recorder, SharedString, Unit,
};
use metrics_exporter_prometheus::{
    Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};
use parking_lot::RwLock;
use smol_str::SmolStr;

/// Upper bounds of the buckets in seconds.
const BUCKETS_S: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Accounts with their own label; all others share [`OTHER`].
const OWN_LABELS: usize = 64;

/// Label of the accounts beyond the bound.
const OTHER: &str = "other";

/// Which latency a histogram holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// From the request's arrival to its first token.
    FirstToken,
    /// Between two tokens of one generation.
    TokenGap,
    /// Between the last token before a loss and the first after it.
    ResumeGap,
    /// From the request's arrival to its end.
    EndToEnd,
    /// Wait for admission.
    Admission,
}

impl Stage {
    const ALL: [Self; 5] = [
        Self::FirstToken,
        Self::TokenGap,
        Self::ResumeGap,
        Self::EndToEnd,
        Self::Admission,
    ];

    fn metric(self) -> &'static str {
        match self {
            Self::FirstToken => "endivefork_first_token_seconds",
            Self::TokenGap => "endivefork_token_gap_seconds",
            Self::ResumeGap => "endivefork_resume_gap_seconds",
            Self::EndToEnd => "endivefork_end_to_end_seconds",
            Self::Admission => "endivefork_admission_wait_seconds",
        }
    }
}

/// The histograms of one account, resolved once for each request.
#[derive(Clone, Debug)]
pub struct Span {
    stages: [Histogram; Stage::ALL.len()],
}

impl Span {
    /// Records one latency.
    pub fn record(&self, stage: Stage, latency: Duration) {
        self.stages[stage as usize].record(latency.as_secs_f64());
    }
}

/// The metrics of one instance.
#[derive(Clone)]
pub struct Metrics {
    inner: Arc<Inner>,
}

struct Inner {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    labels: RwLock<IndexSet<SmolStr>>,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Metrics")
    }
}

impl Metrics {
    /// Empty metrics, apart from those of other instances in the process.
    #[must_use]
    pub fn new() -> Self {
        let mut builder = PrometheusBuilder::new();
        for stage in Stage::ALL {
            builder = builder
                .set_buckets_for_metric(Matcher::Full(stage.metric().into()), BUCKETS_S)
                .expect("the buckets are not empty");
        }
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Self {
            inner: Arc::new(Inner {
                recorder,
                handle,
                labels: RwLock::default(),
            }),
        }
    }

    /// Takes the metrics of parts that know no instance, such as the platform's client; the
    /// first instance of a process gets them.
    pub fn install(&self) {
        let global = Global(Arc::clone(&self.inner));
        // Another instance of this process was first.
        let _ = metrics::set_global_recorder(global);
    }

    /// The histograms of `account`, or of all accounts beyond the bound on labels.
    #[must_use]
    pub fn span(&self, account: &str) -> Span {
        let label = self.label(account);
        let stages = Stage::ALL.map(|stage| {
            let key = key(stage.metric(), &[("account", label.as_str())]);
            self.inner.recorder.register_histogram(&key, &METADATA)
        });
        Span { stages }
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: &'static str) {
        self.counter("endivefork_refusals_total", &[("reason", reason)])
            .increment(1);
    }

    /// A counter; `labels` must have few values.
    pub fn counter(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Counter {
        self.inner
            .recorder
            .register_counter(&key(name, labels), &METADATA)
    }

    /// A gauge; `labels` must have few values.
    pub fn gauge(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Gauge {
        self.inner
            .recorder
            .register_gauge(&key(name, labels), &METADATA)
    }

    /// All metrics in Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        self.inner.handle.run_upkeep();
        self.inner.handle.render()
    }

    fn label(&self, account: &str) -> SmolStr {
        if self.inner.labels.read().contains(account) {
            return account.into();
        }
        let mut labels = self.inner.labels.write();
        match labels.len() {
            OWN_LABELS.. => OTHER.into(),
            _ => {
                labels.insert(account.into());
                account.into()
            }
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

struct Global(Arc<Inner>);

impl Recorder for Global {
    fn describe_counter(&self, key: KeyName, unit: Option<Unit>, text: SharedString) {
        self.0.recorder.describe_counter(key, unit, text);
    }

    fn describe_gauge(&self, key: KeyName, unit: Option<Unit>, text: SharedString) {
        self.0.recorder.describe_gauge(key, unit, text);
    }

    fn describe_histogram(&self, key: KeyName, unit: Option<Unit>, text: SharedString) {
        self.0.recorder.describe_histogram(key, unit, text);
    }

    fn register_counter(&self, key: &Key, metadata: &Metadata<'_>) -> Counter {
        self.0.recorder.register_counter(key, metadata)
    }

    fn register_gauge(&self, key: &Key, metadata: &Metadata<'_>) -> Gauge {
        self.0.recorder.register_gauge(key, metadata)
    }

    fn register_histogram(&self, key: &Key, metadata: &Metadata<'_>) -> Histogram {
        self.0.recorder.register_histogram(key, metadata)
    }
}

static METADATA: Metadata<'static> = Metadata::new("endivefork", Level::INFO, None);

fn key(name: &'static str, labels: &[(&'static str, &str)]) -> Key {
    let labels: Vec<_> = labels
        .iter()
        .map(|(name, value)| Label::new(*name, (*value).to_owned()))
        .collect();
    Key::from_parts(name, labels)
}
