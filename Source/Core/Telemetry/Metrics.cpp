#include "Telemetry/Telemetry.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace pistachio {
namespace {

/// Bucket boundaries in seconds, from the latency of one network hop to the
/// longest deadline of a request.
const prometheus::Histogram::BucketBoundaries &bucketBoundaries() {
  static const prometheus::Histogram::BucketBoundaries Boundaries = {
      0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
      0.1,    0.25,  0.5,    1,     2.5,  5,     10};
  return Boundaries;
}

class PrometheusCounter : public Counter {
public:
  explicit PrometheusCounter(prometheus::Counter &metric) : Metric(metric) {}
  void add(double n) override { Metric.Increment(n); }

private:
  prometheus::Counter &Metric;
};

class PrometheusGauge : public Gauge {
public:
  explicit PrometheusGauge(prometheus::Gauge &metric) : Metric(metric) {}
  void set(double value) override { Metric.Set(value); }

private:
  prometheus::Gauge &Metric;
};

class PrometheusHistogram : public Histogram {
public:
  explicit PrometheusHistogram(prometheus::Histogram &metric)
      : Metric(metric) {}
  void observe(double seconds) override { Metric.Observe(seconds); }

private:
  prometheus::Histogram &Metric;
};

class PrometheusRegistry : public MetricsRegistry {
public:
  Counter &counter(const std::string &name, const std::string &help,
                   std::initializer_list<Label> labels) override {
    const std::lock_guard lock(Mutex);
    auto &metric = prometheus::BuildCounter()
                       .Name(name)
                       .Help(help)
                       .Register(*Registry)
                       .Add(toMap(labels));
    return Counters.try_emplace(&metric, metric).first->second;
  }

  Gauge &gauge(const std::string &name, const std::string &help,
               std::initializer_list<Label> labels) override {
    const std::lock_guard lock(Mutex);
    auto &metric =
        prometheus::BuildGauge().Name(name).Help(help).Register(*Registry).Add(
            toMap(labels));
    return Gauges.try_emplace(&metric, metric).first->second;
  }

  Histogram &histogram(const std::string &name, const std::string &help,
                       std::initializer_list<Label> labels) override {
    const std::lock_guard lock(Mutex);
    auto &metric = prometheus::BuildHistogram()
                       .Name(name)
                       .Help(help)
                       .Register(*Registry)
                       .Add(toMap(labels), bucketBoundaries());
    return Histograms.try_emplace(&metric, metric).first->second;
  }

  std::string text() const override {
    return prometheus::TextSerializer().Serialize(Registry->Collect());
  }

private:
  static std::map<std::string, std::string>
  toMap(std::initializer_list<Label> labels) {
    return {labels.begin(), labels.end()};
  }

  std::mutex Mutex;
  std::shared_ptr<prometheus::Registry> Registry =
      std::make_shared<prometheus::Registry>();
  std::map<prometheus::Counter *, PrometheusCounter> Counters;
  std::map<prometheus::Gauge *, PrometheusGauge> Gauges;
  std::map<prometheus::Histogram *, PrometheusHistogram> Histograms;
};

} // namespace

std::unique_ptr<MetricsRegistry> makeMetricsRegistry() {
  return std::make_unique<PrometheusRegistry>();
}

} // namespace pistachio
