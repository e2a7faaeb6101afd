package org.radishpost.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.TenantName;

/**
 * A bounded queue that is fair between tenants and lets the lightest calls go when it is full.
 *
 * <p>Start-time fair queueing over tenants: each served call moves its tenant's virtual time on by
 * one, the tenant with the least virtual time is next, and its oldest call is served. When the
 * queue is full, the tenant with the most waiting calls loses its lightest, latest one. One thread
 * at a time.
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

  /** Returns the number of waiting calls. */
  public int size() {
    return byId.size();
  }

  /** Tells whether no call waits. */
  public boolean isEmpty() {
    return byId.isEmpty();
  }

  /**
   * Takes a call in.
   *
   * @param call the call
   * @param maxQueuedCalls the most calls that may wait now
   * @param evicted takes the calls that lose their places, this one perhaps among them
   */
  public void add(CallFacts call, int maxQueuedCalls, Consumer<CallFacts> evicted) {
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

  /** Returns how many waiting calls would be served before a new one of the tenant. */
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

  /** Takes out the call that is next. */
  public Optional<CallFacts> poll() {
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

  /** Takes a call out; tells whether it was there. */
  public boolean remove(CallId id) {
    QueuedCall queued = byId.get(id);
    if (queued == null) {
      return false;
    }
    unlink(queued);
    return true;
  }

  /** Takes out every call that cannot end in time when it needs so long from now on. */
  public void expire(long nowNanos, long serviceNanos, Consumer<CallFacts> expired) {
    while (!byDeadline.isEmpty()) {
      QueuedCall first = byDeadline.first();
      if (first.call.deadlineNanos() - nowNanos > serviceNanos) {
        return;
      }
      unlink(first);
      expired.accept(first.call);
    }
  }

  /** Takes out every call. */
  public void drain(Consumer<CallFacts> removed) {
    List<QueuedCall> all = new ArrayList<>(byDeadline);
    all.forEach(this::unlink);
    all.forEach(queued -> removed.accept(queued.call));
  }

  private TenantQueue tenantToEvictFrom() {
    TenantQueue longest = byVirtualTime.first();
    for (TenantQueue tenant : byVirtualTime) {
      if (tenant.isEvictedBefore(longest)) {
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

  /** Forgets tenants without calls; each had its share, so that none gains by being forgotten. */
  private void removeIdleTenants() {
    if (tenants.size() > MAX_IDLE_TENANTS + byVirtualTime.size()) {
      tenants.values().removeIf(TenantQueue::isEmpty);
    }
  }

  private record QueuedCall(CallFacts call, long sequence) {}

  private static final class TenantQueue implements Comparable<TenantQueue> {
    private static final Comparator<QueuedCall> OLDEST_FIRST =
        Comparator.comparingLong(w -> w.sequence);
    private static final Comparator<QueuedCall> LIGHTEST_FIRST =
        Comparator.<QueuedCall>comparingInt(w -> w.call.weight())
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

    boolean isEvictedBefore(TenantQueue other) {
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
