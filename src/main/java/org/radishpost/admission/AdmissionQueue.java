package org.radishpost.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.TenantName;

/**
 * A bounded queue that is fair between tenants and evicts the lightest calls when it is full.
 *
 * <p>Start-time fair queueing over tenants: each call that is removed by {@link #poll} advances its
 * tenant's virtual time by one. The tenant with the lowest virtual time is served next, and its
 * oldest call first. When the queue is full, the tenant with the most queued calls loses the
 * lightest of them; of several equally light calls, the newest. Not thread-safe.
 */
public final class AdmissionQueue {
  private static final Comparator<QueuedCall> BY_DEADLINE =
      (a, b) -> {
        int byTime = Long.signum(a.call.deadlineNanos() - b.call.deadlineNanos());
        return byTime != 0 ? byTime : Long.compare(a.sequence, b.sequence);
      };

  private static final int MAX_IDLE_TENANTS = 1_024;

  private final Map<CallId, QueuedCall> byId = new HashMap<>();
  private final Map<TenantName, TenantQueue> tenants = new HashMap<>();
  private final TreeSet<TenantQueue> byVirtualTime = new TreeSet<>();
  private final TreeSet<QueuedCall> byDeadline = new TreeSet<>(BY_DEADLINE);
  private long nextSequence;
  private long virtualTime;

  /** Returns the number of queued calls. */
  public int size() {
    return byId.size();
  }

  /** Returns whether the queue is empty. */
  public boolean isEmpty() {
    return byId.isEmpty();
  }

  /**
   * Adds a call and evicts calls that exceed the bound.
   *
   * @param call the call
   * @param maxQueuedCalls the current maximum number of queued calls
   * @param evicted receives the evicted calls, which may include {@code call}
   */
  public void add(CallInfo call, int maxQueuedCalls, Consumer<CallInfo> evicted) {
    QueuedCall queued = new QueuedCall(call, nextSequence++);
    TenantQueue tenant = tenants.computeIfAbsent(call.tenant(), TenantQueue::new);
    if (tenant.isEmpty()) {
      tenant.virtualTime = Math.max(tenant.virtualTime, virtualTime);
      byVirtualTime.add(tenant);
    }
    tenant.add(queued);
    byId.put(call.id(), queued);
    byDeadline.add(queued);
    while (byId.size() > maxQueuedCalls) {
      QueuedCall dropped = tenantToEvictFrom().lightest();
      unlink(dropped);
      evicted.accept(dropped.call);
    }
  }

  /** Returns the number of queued calls that would be served before a new call of the tenant. */
  public int callsAhead(TenantName name) {
    TenantQueue own = tenants.get(name);
    int ownAhead = own == null ? 0 : own.size();
    int ahead = ownAhead;
    for (TenantQueue tenant : byVirtualTime) {
      if (tenant != own) {
        ahead += Math.min(tenant.size(), ownAhead + 1);
      }
    }
    return ahead;
  }

  /** Removes and returns the next call, or returns empty if the queue is empty. */
  public Optional<CallInfo> poll() {
    if (byVirtualTime.isEmpty()) {
      return Optional.empty();
    }
    TenantQueue tenant = byVirtualTime.first();
    final QueuedCall next = tenant.oldest();
    byVirtualTime.remove(tenant);
    virtualTime = tenant.virtualTime;
    tenant.virtualTime++;
    byVirtualTime.add(tenant);
    unlink(next);
    return Optional.of(next.call);
  }

  /** Removes a call from the queue and returns whether it was queued. */
  public boolean remove(CallId id) {
    QueuedCall queued = byId.get(id);
    if (queued == null) {
      return false;
    }
    unlink(queued);
    return true;
  }

  /**
   * Removes every call that cannot complete before its deadline.
   *
   * @param nowNanos the time now
   * @param serviceNanos the expected service time of a call
   * @param expired receives the removed calls
   */
  public void expire(long nowNanos, long serviceNanos, Consumer<CallInfo> expired) {
    while (!byDeadline.isEmpty()) {
      QueuedCall first = byDeadline.first();
      if (first.call.deadlineNanos() - nowNanos > serviceNanos) {
        return;
      }
      unlink(first);
      expired.accept(first.call);
    }
  }

  /** Removes all calls and passes them to {@code removed}, earliest deadline first. */
  public void drain(Consumer<CallInfo> removed) {
    List<QueuedCall> all = new ArrayList<>(byDeadline);
    all.forEach(this::unlink);
    all.forEach(queued -> removed.accept(queued.call));
  }

  private TenantQueue tenantToEvictFrom() {
    TenantQueue longest = byVirtualTime.first();
    for (TenantQueue tenant : byVirtualTime) {
      if (tenant.losesCallBefore(longest)) {
        longest = tenant;
      }
    }
    return longest;
  }

  private void unlink(QueuedCall queued) {
    byId.remove(queued.call.id());
    byDeadline.remove(queued);
    TenantQueue tenant = tenants.get(queued.call.tenant());
    tenant.remove(queued);
    if (tenant.isEmpty()) {
      byVirtualTime.remove(tenant);
      removeIdleTenants();
    }
  }

  /**
   * Removes the tenants without queued calls when there are too many. A removed tenant starts again
   * at the current virtual time, so it gains no advantage.
   */
  private void removeIdleTenants() {
    if (tenants.size() > MAX_IDLE_TENANTS + byVirtualTime.size()) {
      tenants.values().removeIf(TenantQueue::isEmpty);
    }
  }

  private record QueuedCall(CallInfo call, long sequence) {}

  private static final class TenantQueue implements Comparable<TenantQueue> {
    private static final Comparator<QueuedCall> OLDEST_FIRST =
        Comparator.comparingLong(queued -> queued.sequence);
    private static final Comparator<QueuedCall> LIGHTEST_FIRST =
        Comparator.<QueuedCall>comparingInt(queued -> queued.call.weight())
            .thenComparing(OLDEST_FIRST.reversed());

    private final TenantName name;
    private final TreeSet<QueuedCall> byAge = new TreeSet<>(OLDEST_FIRST);
    private final TreeSet<QueuedCall> byWeight = new TreeSet<>(LIGHTEST_FIRST);
    private long virtualTime;

    TenantQueue(TenantName name) {
      this.name = name;
    }

    void add(QueuedCall queued) {
      byAge.add(queued);
      byWeight.add(queued);
    }

    void remove(QueuedCall queued) {
      byAge.remove(queued);
      byWeight.remove(queued);
    }

    boolean isEmpty() {
      return byAge.isEmpty();
    }

    int size() {
      return byAge.size();
    }

    QueuedCall oldest() {
      return byAge.first();
    }

    QueuedCall lightest() {
      return byWeight.first();
    }

    boolean losesCallBefore(TenantQueue other) {
      if (size() != other.size()) {
        return size() > other.size();
      }
      return lightest().call.weight() < other.lightest().call.weight();
    }

    @Override
    public int compareTo(TenantQueue other) {
      int byTime = Long.compare(virtualTime, other.virtualTime);
      return byTime != 0 ? byTime : name.compareTo(other.name);
    }
  }
}
