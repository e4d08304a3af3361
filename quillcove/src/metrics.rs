//! Metrics of a process, by OpenTelemetry, in Prometheus text.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    AsyncInstrument, Counter, Histogram, Meter, MeterProvider, UpDownCounter,
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use quillcove_core::class::WorkClass;
use quillcove_core::memory::{MemoryAccount, MemoryClass};
use quillcove_core::relay::beacon::PeerMessageKind;
use quillcove_core::relay::promise::EstimateOutcome;
use quillcove_core::relay::store_duty::ReadReason;
use quillcove_core::standing::notice::UpstreamNotice;
use quillcove_core::verdict::{RefusalReason, RunVerdict};

use crate::peers::SentMessage;

/// Bounds of time histograms, in seconds.
const TIME_BOUNDS: [f64; 16] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.31, 0.5, 1.0, 2.5,
    10.0, 60.0,
];

/// Counters and histograms of one process.
pub struct ProcessMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    meter: Meter,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    resumes: Counter<u64>,
    retries: Counter<u64>,
    loads: Counter<u64>,
    orders: Counter<u64>,
    peer_messages: Counter<u64>,
    replica_ends: Counter<u64>,
    stalled_readers: Counter<u64>,
    closed_unread: Counter<u64>,
    stream_buffer: UpDownCounter<i64>,
    store_eras: Counter<u64>,
    replica_words: Counter<u64>,
    peer_bytes: Counter<u64>,
    own_reads: Counter<u64>,
    load_stall: Histogram<f64>,
    pauses: Counter<u64>,
    promises: Counter<u64>,
    admissions: Counter<u64>,
    promise_error: Histogram<f64>,
    first_byte: Histogram<f64>,
    task_delay: Histogram<f64>,
    duration: Histogram<f64>,
}

impl ProcessMetrics {
    /// Sets the metrics up, each with the role as a label.
    ///
    /// # Errors
    ///
    /// When the exporter can not be made.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("entry").unwrap();
    /// assert!(metrics.text().contains("target_info"));
    /// ```
    pub fn new(role: &'static str) -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let exporter = exporter.build().wrap_err("can not make the metrics exporter")?;
        let resource = opentelemetry_sdk::Resource::builder().with_service_name(role).build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter("quillcove");
        let time = |name: &'static str, description: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(description);
            histogram.with_unit("s").with_boundaries(TIME_BOUNDS.to_vec()).build()
        };
        Ok(Self {
            requests: counter(&meter, "quillcove.requests", "Requests by verdict and class"),
            refusals: counter(&meter, "quillcove.refusals", "Refusals by reason and class"),
            attempts: counter(&meter, "quillcove.attempts", "Attempts sent or taken"),
            resumes: counter(
                &meter,
                "quillcove.resumes",
                "Streams that callers took up, by how their beginning was found",
            ),
            retries: counter(&meter, "quillcove.retries", "Attempts after the first"),
            loads: counter(&meter, "quillcove.loads", "Loads by outcome"),
            orders: counter(&meter, "quillcove.orders", "Orders to the engine by outcome"),
            replica_ends: counter(
                &meter,
                "quillcove.replica_ends",
                "Replicas that were found to have ended with requests of this process",
            ),
            stalled_readers: counter(
                &meter,
                "quillcove.stalled_readers",
                "Callers that were disconnected because they did not read their stream",
            ),
            closed_unread: counter(
                &meter,
                "quillcove.closed_unread",
                "New connections closed unread as the process has more callers than it can serve",
            ),
            stream_buffer: meter
                .i64_up_down_counter("quillcove.stream_buffer_bytes")
                .with_description("Bytes of streams that wait for their callers to read")
                .build(),
            store_eras: counter(
                &meter,
                "quillcove.store_eras",
                "Returns of the platform's store from an older copy",
            ),
            replica_words: counter(
                &meter,
                "quillcove.replica_words",
                "Answers by which replicas said that they leave, or asked for rest",
            ),
            peer_messages: counter(
                &meter,
                "quillcove.peer_messages",
                "Datagrams sent to other processes of the system, by kind",
            ),
            peer_bytes: counter(
                &meter,
                "quillcove.peer_bytes",
                "Bytes of these datagrams, without the network's headers",
            ),
            own_reads: counter(
                &meter,
                "quillcove.own_reads",
                "Reads of the store by a relay that is told of it by others, by reason",
            ),
            load_stall: time("quillcove.load_stall", "Wait before the upstream gets an attempt"),
            admissions: counter(
                &meter,
                "quillcove.admissions",
                "Admission decisions for engines with scarce adapter slots, by decision",
            ),
            pauses: counter(
                &meter,
                "quillcove.pauses",
                "Streams by whether their longest pause was predicted to be late and was",
            ),
            promises: counter(&meter, "quillcove.promises", "Told times of adapters by fate"),
            promise_error: time(
                "quillcove.promise_error",
                "Time between when an adapter was told to be there and when it was",
            ),
            first_byte: time("quillcove.first_byte", "Time from a request to its answer's head"),
            task_delay: time("quillcove.task_delay", "Wait of a task for the serving thread"),
            duration: time("quillcove.request_duration", "Time from a request to its last byte"),
            registry,
            _provider: provider,
            meter,
        })
    }

    /// Exports what an account holds, by class.
    ///
    /// ```
    /// use quillcove_core::memory::{CallerBudget, MachineLimits, MemoryAccount};
    ///
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// let machine = MachineLimits { memory_bytes: 17_000_000, descriptors: 1000 };
    /// metrics.observe_memory(MemoryAccount::new(CallerBudget::of(machine)));
    /// assert!(metrics.text().contains("quillcove_held_bytes"));
    /// ```
    pub fn observe_memory(&self, account: Arc<MemoryAccount>) {
        let gauge = self.meter.u64_observable_gauge("quillcove.held_bytes");
        let observe = move |observer: &dyn AsyncInstrument<u64>| {
            for class in MemoryClass::ALL {
                let labels = [KeyValue::new("class", class.label())];
                observer.observe(account.held(class) as u64, &labels);
            }
        };
        let description = "Bytes that are held for callers, by class";
        // The provider keeps the callback.
        let _ = gauge.with_description(description).with_callback(observe).build();
    }

    /// Counts a finished request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::class::WorkClass;
    /// use quillcove_core::verdict::RunVerdict;
    ///
    /// let metrics = quillcove::metrics::ProcessMetrics::new("entry").unwrap();
    /// metrics.record_finish(RunVerdict::Ran, WorkClass::Normal, Duration::from_millis(5));
    /// assert!(metrics.text().contains("quillcove_requests_total"));
    /// ```
    pub fn record_finish(&self, verdict: RunVerdict, class: WorkClass, took: Duration) {
        let labels = [class_label(class), KeyValue::new("verdict", verdict.label())];
        self.requests.add(1, &labels);
        self.duration.record(took.as_secs_f64(), &labels[..1]);
    }

    /// Counts a refusal.
    ///
    /// ```
    /// use quillcove_core::class::WorkClass;
    /// use quillcove_core::verdict::RefusalReason;
    ///
    /// let metrics = quillcove::metrics::ProcessMetrics::new("entry").unwrap();
    /// metrics.record_refusal(RefusalReason::Overloaded, WorkClass::Normal);
    /// ```
    pub fn record_refusal(&self, reason: RefusalReason, class: WorkClass) {
        let labels = [class_label(class), KeyValue::new("reason", reason.label())];
        self.refusals.add(1, &labels);
    }

    /// Counts a stream that its caller took up, by how the relay found where it began.
    ///
    /// ```
    /// quillcove::metrics::ProcessMetrics::new("relay").unwrap().record_resume("own");
    /// ```
    pub fn record_resume(&self, outcome: &'static str) {
        self.resumes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an attempt.
    ///
    /// ```
    /// quillcove::metrics::ProcessMetrics::new("entry").unwrap().record_attempt(true);
    /// ```
    pub fn record_attempt(&self, is_first: bool) {
        self.attempts.add(1, &[]);
        if !is_first {
            self.retries.add(1, &[]);
        }
    }

    /// Records how long an attempt waited before its upstream got it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::class::WorkClass;
    ///
    /// let metrics = quillcove::metrics::ProcessMetrics::new("agent").unwrap();
    /// metrics.record_stall(WorkClass::Urgent, Duration::from_millis(300));
    /// ```
    pub fn record_stall(&self, class: WorkClass, wait: Duration) {
        self.load_stall.record(wait.as_secs_f64(), &[class_label(class)]);
    }

    /// Counts admission decisions with one label.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.record_admissions("timely", 3);
    /// assert!(metrics.text().contains("quillcove_admissions_total"));
    /// ```
    pub fn record_admissions(&self, decision: &'static str, count: u64) {
        self.admissions.add(count, &[KeyValue::new("decision", decision)]);
    }

    /// Records what became of a time that a refused caller was told.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::promise::EstimateOutcome;
    ///
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.promise_ended(EstimateOutcome::Late(Duration::from_millis(40)));
    /// assert!(metrics.text().contains("quillcove_promises_total"));
    /// ```
    pub fn promise_ended(&self, fate: EstimateOutcome) {
        let (label, error) = match fate {
            EstimateOutcome::Early(error) => ("early", Some(error)),
            EstimateOutcome::Late(error) => ("late", Some(error)),
            EstimateOutcome::Missed => ("missed", None),
        };
        let labels = [KeyValue::new("fate", label)];
        self.promises.add(1, &labels);
        if let Some(error) = error {
            self.promise_error.record(error.as_secs_f64(), &labels);
        }
    }

    /// Counts a stream by whether its longest pause was predicted to exceed the target of its route, and whether it did.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.record_pause(false, true);
    /// assert!(metrics.text().contains("quillcove_pauses_total"));
    /// ```
    pub fn record_pause(&self, is_predicted_late: bool, is_late: bool) {
        let label = |is_late| if is_late { "late" } else { "on_time" };
        let labels = [
            KeyValue::new("predicted", label(is_predicted_late)),
            KeyValue::new("measured", label(is_late)),
        ];
        self.pauses.add(1, &labels);
    }

    /// Records the time to an answer's head.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::class::WorkClass;
    ///
    /// let metrics = quillcove::metrics::ProcessMetrics::new("entry").unwrap();
    /// metrics.record_first_byte(WorkClass::Urgent, Duration::from_millis(30));
    /// ```
    pub fn record_first_byte(&self, class: WorkClass, took: Duration) {
        self.first_byte.record(took.as_secs_f64(), &[class_label(class)]);
    }

    /// Records for how long a task that serves callers waited for its thread.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.record_task_delay(Duration::from_millis(30));
    /// assert!(metrics.text().contains("quillcove_task_delay"));
    /// ```
    pub fn record_task_delay(&self, delay: Duration) {
        self.task_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Counts the end of an order to the engine.
    ///
    /// ```
    /// quillcove::metrics::ProcessMetrics::new("agent").unwrap().record_order(true, "done");
    /// ```
    pub fn record_order(&self, is_load: bool, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.orders.add(1, &labels);
        if is_load {
            self.loads.add(1, &labels);
        }
    }

    /// Counts a read of the store by a relay that is told of it by others.
    ///
    /// ```
    /// use quillcove::metrics::ProcessMetrics;
    /// use quillcove_core::relay::store_duty::ReadReason;
    ///
    /// let metrics = ProcessMetrics::new("relay").unwrap();
    /// metrics.read_itself(ReadReason::KnowledgeOld);
    /// assert!(metrics.text().contains("quillcove_own_reads_total"));
    /// ```
    pub fn read_itself(&self, reason: ReadReason) {
        self.own_reads.add(1, &[KeyValue::new("reason", reason.label())]);
    }

    /// Counts a return of the platform's store from an older copy.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.store_came_back_older();
    /// assert!(metrics.text().contains("quillcove_store_eras_total"));
    /// ```
    pub fn store_came_back_older(&self) {
        self.store_eras.add(1, &[]);
    }

    /// Counts a replica that was found to have ended with requests of this process.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.replica_ended();
    /// assert!(metrics.text().contains("quillcove_replica_ends_total"));
    /// ```
    pub fn replica_ended(&self) {
        self.replica_ends.add(1, &[]);
    }

    /// Counts a caller that was disconnected because it did not read its stream.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.record_stalled_reader();
    /// assert!(metrics.text().contains("quillcove_stalled_readers_total"));
    /// ```
    pub fn record_stalled_reader(&self) {
        self.stalled_readers.add(1, &[]);
    }

    /// Counts a new connection that was closed before anything was read from it.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.record_closed_unread();
    /// assert!(metrics.text().contains("quillcove_closed_unread_total"));
    /// ```
    pub fn record_closed_unread(&self) {
        self.closed_unread.add(1, &[]);
    }

    /// Records a change, in bytes, of what is buffered of streams until their callers read it.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.record_stream_buffer(100);
    /// assert!(metrics.text().contains("quillcove_stream_buffer_bytes"));
    /// ```
    pub fn record_stream_buffer(&self, change: i64) {
        self.stream_buffer.add(change, &[]);
    }

    /// Counts an answer by which a replica said something of itself.
    ///
    /// ```
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.record_notice(&UpstreamNotice { is_leaving: true, rest: None, limit: None });
    /// assert!(metrics.text().contains("quillcove_replica_words_total"));
    /// ```
    pub fn record_notice(&self, notice: &UpstreamNotice) {
        let words = [
            ("leaving", notice.is_leaving),
            ("rest", notice.rest.is_some()),
            ("limit", notice.limit.is_some()),
        ];
        for (word, _) in words.into_iter().filter(|(_, is_said)| *is_said) {
            self.replica_word(word);
        }
    }

    /// Counts one word of a replica.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("relay").unwrap();
    /// metrics.replica_word("unread");
    /// assert!(metrics.text().contains("unread"));
    /// ```
    pub fn replica_word(&self, word: &'static str) {
        self.replica_words.add(1, &[KeyValue::new("word", word)]);
    }

    /// Counts a message that went to other processes of the system.
    ///
    /// ```
    /// use quillcove::metrics::ProcessMetrics;
    /// use quillcove::peers::SentMessage;
    /// use quillcove_core::relay::beacon::PeerMessageKind;
    ///
    /// let metrics = ProcessMetrics::new("relay").unwrap();
    /// metrics.told(PeerMessageKind::Use, SentMessage { datagrams: 2, bytes: 60 });
    /// assert!(metrics.text().contains("quillcove_peer_bytes_total{kind=\"use\""));
    /// ```
    pub fn told(&self, kind: PeerMessageKind, sent: SentMessage) {
        let labels = [KeyValue::new("kind", kind.label())];
        self.peer_messages.add(sent.datagrams as u64, &labels);
        self.peer_bytes.add(sent.bytes as u64, &labels);
    }

    /// All metrics in Prometheus text.
    ///
    /// ```
    /// let metrics = quillcove::metrics::ProcessMetrics::new("agent").unwrap();
    /// assert!(!metrics.text().is_empty());
    /// ```
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn class_label(class: WorkClass) -> KeyValue {
    KeyValue::new("class", class.label())
}
