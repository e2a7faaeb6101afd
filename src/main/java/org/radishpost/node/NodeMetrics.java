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
import org.radishpost.http.CallResult;
import org.radishpost.http.Response;
import org.radishpost.lib.Verdict;
import org.radishpost.link.PeerTraffic;
import org.radishpost.link.TcpLinks;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/**
 * The metrics of one VM; docs/ADMIN.md lists them.
 *
 * <p>Names may end in labels, as {@code calls;outcome=answered}. Thread-safe; recording takes a
 * look-up at most and no lock.
 */
final class NodeMetrics {
  private final MetricRegistry registry;
  private final Counter answered;
  private final Counter unknown;
  private final Map<Integer, Counter> notRun = new ConcurrentHashMap<>();
  private final Map<HandBackReason, Counter> handedBack = new EnumMap<>(HandBackReason.class);
  private final Map<EventCode, Counter> events = new EnumMap<>(EventCode.class);
  private final Counter hops;
  private final Counter lostHops;
  private final Counter shedHops;
  private final Counter unreachable;
  private final Counter targetCalls;
  private final Counter probes;
  private final Histogram callMicros;
  private final Histogram hopMicros;
  private final Histogram targetMicros;

  NodeMetrics(MetricRegistry registry) {
    this.registry = registry;
    answered = registry.counter("calls;outcome=answered");
    unknown = registry.counter("calls;outcome=unknown");
    hops = registry.counter("hops;outcome=answered");
    shedHops = registry.counter("hops;outcome=shed");
    lostHops = registry.counter("hops;outcome=lost");
    unreachable = registry.counter("hops;outcome=unreachable");
    targetCalls = registry.counter("target.sends;what=call");
    probes = registry.counter("target.sends;what=probe");
    callMicros = histogram("call.micros");
    hopMicros = histogram("hop.micros");
    targetMicros = histogram("target.micros");
    for (HandBackReason reason : HandBackReason.values()) {
      handedBack.put(reason, registry.counter("hops;outcome=handed-back;reason=" + reason));
    }
    for (EventCode code : EventCode.values()) {
      events.put(code, registry.counter("events;name=" + code));
    }
  }

  MetricRegistry registry() {
    return registry;
  }

  /** Shows what the VM knows of itself. */
  void watch(VmCore core, TcpLinks links) {
    gauge("config.version", () -> core.config().current().version());
    gauge("claims.keys", () -> core.claims().keys());
    gauge("claims.index.bytes", () -> core.claims().indexBytes());
    gauge("suspects", () -> core.suspects().size());
    gauge("pools.owned", () -> core.pools().views().size());
    gauge("pools.queued", () -> sum(core, PoolView::queued));
    gauge("pools.running", () -> sum(core, PoolView::running));
    gauge("pools.slots", () -> sum(core, PoolView::slots));
    traffic("link.bytes;direction=in", links, PeerTraffic::bytesIn);
    traffic("link.bytes;direction=out", links, PeerTraffic::bytesOut);
    traffic("link.frames;direction=in", links, PeerTraffic::framesIn);
    traffic("link.frames;direction=out", links, PeerTraffic::framesOut);
  }

  void called(Response reply, long nanos) {
    callMicros.update(TimeUnit.NANOSECONDS.toMicros(nanos));
    if (reply.refusalVerdict().isEmpty()) {
      answered.inc();
    } else if (reply.refusalVerdict().get() == Verdict.UNKNOWN) {
      unknown.inc();
    } else {
      notRun.computeIfAbsent(reply.status(), this::notRunCounter).inc();
    }
  }

  void hopped(CallResult result, long nanos) {
    hopMicros.update(TimeUnit.NANOSECONDS.toMicros(nanos));
    switch (result) {
      case CallResult.Responded reply -> hops.inc();
      case CallResult.HandedBack back -> handedBack.get(back.reason()).inc();
      case CallResult.Unreachable gone -> unreachable.inc();
      case CallResult.Lost lost -> lostHops.inc();
      case CallResult.Shed shed -> shedHops.inc();
    }
  }

  void sent(boolean probe) {
    (probe ? probes : targetCalls).inc();
  }

  void targetAnswered(long nanos) {
    targetMicros.update(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  void happened(EventCode code) {
    events.get(code).inc();
  }

  private Counter notRunCounter(int status) {
    return registry.counter("calls;outcome=not-run;status=" + status);
  }

  private Histogram histogram(String name) {
    return registry.register(
        name, new Histogram(LockFreeExponentiallyDecayingReservoir.builder().build()));
  }

  private void gauge(String name, Supplier<Number> value) {
    registry.registerGauge(name, (Gauge<Number>) value::get);
  }

  private void traffic(String name, TcpLinks links, ToLongFunction<PeerTraffic> part) {
    registry.register(name, new RunningCount(() -> links.traffic().stream().mapToLong(part).sum()));
  }

  private static long sum(VmCore core, ToLongFunction<PoolView> part) {
    return core.pools().views().stream().mapToLong(part).sum();
  }
}
