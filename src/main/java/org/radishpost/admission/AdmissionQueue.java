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
  private static final Comparator<Waiting> BY_DEADLINE =
      (a, b) -> {
        int byTime = Long.signum(a.call.deadlineNanos() - b.call.deadlineNanos());
        return byTime != 0 ? byTime : Long.compare(a.order, b.order);
      };

  private static final int MAX_IDLE_TENANTS = 1_024;

  private final Map<CallId, Waiting> byId = new HashMap<>();
  private final Map<TenantName, TenantQueue> tenants = new HashMap<>();
  private final TreeSet<TenantQueue> bySchedule = new TreeSet<>();
  private final TreeSet<Waiting> byDeadline = new TreeSet<>(BY_DEADLINE);
  private long nextOrder;
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
   * @param boundCalls the most calls that may wait now
   * @param losers takes the calls that lose their places, this one perhaps among them
   */
  public void add(CallFacts call, int boundCalls, Consumer<CallFacts> losers) {
    Waiting waiting = new Waiting(call, nextOrder++);
    TenantQueue tenant = tenants.computeIfAbsent(call.tenant(), TenantQueue::new);
    if (tenant.isEmpty()) {
      tenant.virtualTime = Math.max(tenant.virtualTime, virtualTime);
      bySchedule.add(tenant);
    }
    tenant.add(waiting);
    byId.put(call.id(), waiting);
    byDeadline.add(waiting);
    while (byId.size() > boundCalls) {
      Waiting loser = mostOverShare().lightest();
      unlink(loser);
      losers.accept(loser.call);
    }
  }

  /** Returns how many waiting calls would be served before a new one of the tenant. */
  public int ahead(TenantName name) {
    TenantQueue own = tenants.get(name);
    int ownAhead = own == null ? 0 : own.size();
    int ahead = ownAhead;
    for (TenantQueue tenant : bySchedule) {
      if (tenant != own) {
        ahead += Math.min(tenant.size(), ownAhead + 1);
      }
    }
    return ahead;
  }

  /** Takes out the call that is next. */
  public Optional<CallFacts> poll() {
    if (bySchedule.isEmpty()) {
      return Optional.empty();
    }
    TenantQueue tenant = bySchedule.first();
    final Waiting next = tenant.oldest();
    bySchedule.remove(tenant);
    virtualTime = tenant.virtualTime;
    tenant.virtualTime++;
    bySchedule.add(tenant);
    unlink(next);
    return Optional.of(next.call);
  }

  /** Takes a call out; tells whether it was there. */
  public boolean remove(CallId id) {
    Waiting waiting = byId.get(id);
    if (waiting == null) {
      return false;
    }
    unlink(waiting);
    return true;
  }

  /** Takes out every call that cannot end in time when it needs so long from now on. */
  public void expire(long nowNanos, long serviceNanos, Consumer<CallFacts> late) {
    while (!byDeadline.isEmpty()) {
      Waiting first = byDeadline.first();
      if (first.call.deadlineNanos() - nowNanos > serviceNanos) {
        return;
      }
      unlink(first);
      late.accept(first.call);
    }
  }

  /** Takes out every call. */
  public void drain(Consumer<CallFacts> taken) {
    List<Waiting> all = new ArrayList<>(byDeadline);
    all.forEach(this::unlink);
    all.forEach(waiting -> taken.accept(waiting.call));
  }

  private TenantQueue mostOverShare() {
    TenantQueue longest = bySchedule.first();
    for (TenantQueue tenant : bySchedule) {
      if (tenant.losesBefore(longest)) {
        longest = tenant;
      }
    }
    return longest;
  }

  private void unlink(Waiting waiting) {
    byId.remove(waiting.call.id());
    byDeadline.remove(waiting);
    TenantQueue tenant = tenants.get(waiting.call.tenant());
    tenant.remove(waiting);
    if (tenant.isEmpty()) {
      bySchedule.remove(tenant);
      forgetIdleTenants();
    }
  }

  /** Forgets tenants without calls; each had its share, so that none gains by being forgotten. */
  private void forgetIdleTenants() {
    if (tenants.size() > MAX_IDLE_TENANTS + bySchedule.size()) {
      tenants.values().removeIf(TenantQueue::isEmpty);
    }
  }

  private record Waiting(CallFacts call, long order) {}

  private static final class TenantQueue implements Comparable<TenantQueue> {
    private static final Comparator<Waiting> OLDEST_FIRST = Comparator.comparingLong(w -> w.order);
    private static final Comparator<Waiting> LIGHTEST_FIRST =
        Comparator.<Waiting>comparingInt(w -> w.call.weight())
            .thenComparing(OLDEST_FIRST.reversed());

    private final TenantName name;
    private final TreeSet<Waiting> byOrder = new TreeSet<>(OLDEST_FIRST);
    private final TreeSet<Waiting> byWeight = new TreeSet<>(LIGHTEST_FIRST);
    private long virtualTime;

    TenantQueue(TenantName name) {
      this.name = name;
    }

    void add(Waiting waiting) {
      byOrder.add(waiting);
      byWeight.add(waiting);
    }

    void remove(Waiting waiting) {
      byOrder.remove(waiting);
      byWeight.remove(waiting);
    }

    boolean isEmpty() {
      return byOrder.isEmpty();
    }

    int size() {
      return byOrder.size();
    }

    Waiting oldest() {
      return byOrder.first();
    }

    Waiting lightest() {
      return byWeight.first();
    }

    boolean losesBefore(TenantQueue other) {
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
