package org.radishpost.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.radishpost.events.EventCode;
import org.radishpost.http.ByteBudget;
import org.radishpost.http.CallResult;
import org.radishpost.http.MessageFault;
import org.radishpost.http.Response;
import org.radishpost.http.ResponseCounters;
import org.radishpost.http.SurplusResponse;
import org.radishpost.lib.Verdict;
import org.radishpost.link.PeerTraffic;
import org.radishpost.link.TcpLinks;
import org.radishpost.platform.StoreClient;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;
import org.radishpost.suspects.CrashHistory;

/**
 * The metrics of one VM; docs/ADMIN.md lists them.
 *
 * <p>A name may be followed by labels, for example {@code calls;outcome=answered}. Thread-safe;
 * recording a value needs at most one map lookup and no lock.
 */
final class NodeMetrics {
  private final MetricRegistry registry;
  private final Counter answeredCalls;
  private final Counter unknownCalls;
  private final Map<Integer, Counter> notRunCalls = new ConcurrentHashMap<>();
  private final Map<HandBackReason, Counter> handedBackHops = new EnumMap<>(HandBackReason.class);
  private final Map<EventCode, Counter> eventCounters = new EnumMap<>(EventCode.class);
  private final Counter answeredHops;
  private final Counter lostHops;
  private final Counter shedHops;
  private final Counter unreachableHops;
  private final Counter targetCalls;
  private final Counter targetProbes;
  private final Histogram callMicros;
  private final Histogram hopMicros;
  private final Histogram targetMicros;

  NodeMetrics(MetricRegistry registry) {
    this.registry = registry;
    answeredCalls = registry.counter("calls;outcome=answered");
    unknownCalls = registry.counter("calls;outcome=unknown");
    answeredHops = registry.counter("hops;outcome=answered");
    shedHops = registry.counter("hops;outcome=shed");
    lostHops = registry.counter("hops;outcome=lost");
    unreachableHops = registry.counter("hops;outcome=unreachable");
    targetCalls = registry.counter("target.sends;what=call");
    targetProbes = registry.counter("target.sends;what=probe");
    callMicros = registerHistogram("call.micros");
    hopMicros = registerHistogram("hop.micros");
    targetMicros = registerHistogram("target.micros");
    for (HandBackReason reason : HandBackReason.values()) {
      handedBackHops.put(reason, registry.counter("hops;outcome=handed-back;reason=" + reason));
    }
    for (EventCode code : EventCode.values()) {
      eventCounters.put(code, registry.counter("events;name=" + code));
    }
  }

  MetricRegistry registry() {
    return registry;
  }

  /** Registers the metrics that are read from the core and the links. */
  void registerGauges(VmCore core, TcpLinks links) {
    registerGauge("config.version", () -> core.config().current().version());
    registerGauge("claims.keys", () -> core.claims().keyCount());
    registerGauge("claims.index.bytes", () -> core.claims().indexBytes());
    registerGauge("suspects", () -> core.suspects().size());
    registerGauge("pools.owned", () -> core.ownedPools().views().size());
    registerGauge("pools.queued", () -> sumOverPools(core, PoolView::queued));
    registerGauge("pools.running", () -> sumOverPools(core, PoolView::running));
    registerGauge("pools.slots", () -> sumOverPools(core, PoolView::slots));
    registerTraffic("link.bytes;direction=in", links, PeerTraffic::bytesIn);
    registerTraffic("link.bytes;direction=out", links, PeerTraffic::bytesOut);
    registerTraffic("link.frames;direction=in", links, PeerTraffic::framesIn);
    registerTraffic("link.frames;direction=out", links, PeerTraffic::framesOut);
  }

  /**
   * Registers the newest era of the platform's store that a response has named, and the number of
   * responses that were dropped because their era had ended.
   */
  void registerStore(StoreClient store) {
    registerGauge("store.era", store::newestEra);
    registry.register("store.outdated", new SuppliedCounter(store::outdatedResponses));
  }

  /** Registers the number of crashes of targets that this VM knows. */
  void registerCrashes(CrashHistory crashes) {
    registerGauge("crashes.known", crashes::size);
  }

  /**
   * Registers the number of bytes of the responses that are being buffered, and the numbers of
   * responses that were dropped or cut.
   */
  void registerResponses(ByteBudget budget, ResponseCounters counters) {
    registerGauge("responses.bytes", budget::heldBytes);
    registry.register("responses.skipped", new SuppliedCounter(counters::skipped));
    registry.register("responses.cut", new SuppliedCounter(counters::cut));
    for (SurplusResponse moment : SurplusResponse.values()) {
      registry.register(
          "responses.surplus;moment=" + moment,
          new SuppliedCounter(() -> counters.surplus(moment)));
    }
  }

  /**
   * Registers the numbers of malformed responses.
   *
   * @param sender what sent them
   */
  void registerMalformedResponses(String sender, ResponseCounters counters) {
    for (MessageFault reason : MessageFault.values()) {
      registry.register(
          "responses.malformed;sender=" + sender + ";reason=" + reason,
          new SuppliedCounter(() -> counters.malformed(reason)));
    }
  }

  void recordCall(Response response, long durationNanos) {
    callMicros.update(TimeUnit.NANOSECONDS.toMicros(durationNanos));
    if (response.refusalVerdict().isEmpty()) {
      answeredCalls.inc();
    } else if (response.refusalVerdict().get() == Verdict.UNKNOWN) {
      unknownCalls.inc();
    } else {
      notRunCalls.computeIfAbsent(response.status(), this::notRunCounter).inc();
    }
  }

  void recordHop(CallResult result, long durationNanos) {
    hopMicros.update(TimeUnit.NANOSECONDS.toMicros(durationNanos));
    switch (result) {
      case CallResult.Responded responded -> answeredHops.inc();
      case CallResult.HandedBack back -> handedBackHops.get(back.reason()).inc();
      case CallResult.Unreachable gone -> unreachableHops.inc();
      case CallResult.Lost lost -> lostHops.inc();
      case CallResult.Shed shed -> shedHops.inc();
    }
  }

  void countSend(boolean probe) {
    (probe ? targetProbes : targetCalls).inc();
  }

  /** Returns the number of callers' calls that have ended. */
  long callCount() {
    return answeredCalls.getCount() + unknownCalls.getCount() + notRunCount();
  }

  /** Returns the number of callers' calls that were refused. */
  long notRunCount() {
    return notRunCalls.values().stream().mapToLong(Counter::getCount).sum();
  }

  /** Returns the number of calls that were sent to targets. */
  long targetCallCount() {
    return targetCalls.getCount();
  }

  /** Returns the number of load probes that were sent to targets. */
  long targetProbeCount() {
    return targetProbes.getCount();
  }

  void recordTargetResponse(long durationNanos) {
    targetMicros.update(TimeUnit.NANOSECONDS.toMicros(durationNanos));
  }

  void countEvent(EventCode code) {
    eventCounters.get(code).inc();
  }

  private Counter notRunCounter(int status) {
    return registry.counter("calls;outcome=not-run;status=" + status);
  }

  private Histogram registerHistogram(String name) {
    return registry.register(
        name, new Histogram(LockFreeExponentiallyDecayingReservoir.builder().build()));
  }

  private void registerGauge(String name, Supplier<Number> value) {
    registry.registerGauge(name, (Gauge<Number>) value::get);
  }

  private void registerTraffic(String name, TcpLinks links, ToLongFunction<PeerTraffic> value) {
    registry.register(
        name, new SuppliedCounter(() -> links.traffic().stream().mapToLong(value).sum()));
  }

  private static long sumOverPools(VmCore core, ToLongFunction<PoolView> value) {
    return core.ownedPools().views().stream().mapToLong(value).sum();
  }
}
