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
 * A bounded queue that is fair between tenants and serves the heaviest call of a tenant first.
 *
 * <p>Start-time fair queueing over tenants: each served call moves its tenant's virtual time on by
 * one, and the tenant with the least virtual time is next. When the queue is full, the tenant with
 * the most waiting calls loses its lightest, latest one. One thread at a time.
 */
public final class AdmissionQueue {
  private static final Comparator<Waiting> BY_DEADLINE =
      (a, b) -> {
        int byTime = Long.signum(a.call.deadlineNanos() - b.call.deadlineNanos());
        return byTime != 0 ? byTime : Long.compare(a.order, b.order);
      };

  private final int boundCalls;
  private final Map<CallId, Waiting> byId = new HashMap<>();
  private final Map<TenantName, TenantQueue> tenants = new HashMap<>();
  private final TreeSet<TenantQueue> bySchedule = new TreeSet<>();
  private final TreeSet<Waiting> byDeadline = new TreeSet<>(BY_DEADLINE);
  private long nextOrder;
  private long virtualTime;

  /** Creates an empty queue for at most so many calls. */
  public AdmissionQueue(int boundCalls) {
    this.boundCalls = boundCalls;
  }

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
   * @return the call that loses its place, which may be this one, when the queue was full
   */
  public Optional<CallFacts> add(CallFacts call) {
    Waiting waiting = new Waiting(call, nextOrder++);
    TenantQueue tenant = tenants.computeIfAbsent(call.tenant(), TenantQueue::new);
    if (tenant.calls.isEmpty()) {
      tenant.virtualTime = Math.max(tenant.virtualTime, virtualTime);
      bySchedule.add(tenant);
    }
    tenant.calls.add(waiting);
    byId.put(call.id(), waiting);
    byDeadline.add(waiting);
    if (byId.size() <= boundCalls) {
      return Optional.empty();
    }
    Waiting loser = loser();
    unlink(loser);
    return Optional.of(loser.call);
  }

  /** Returns how many waiting calls would be served before the given new one. */
  public int ahead(CallFacts call) {
    TenantQueue own = tenants.get(call.tenant());
    int ownAhead = own == null ? 0 : own.aheadOf(call.weight());
    int ahead = ownAhead;
    for (TenantQueue tenant : bySchedule) {
      if (tenant != own) {
        ahead += Math.min(tenant.calls.size(), ownAhead + 1);
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
    final Waiting next = tenant.calls.first();
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

  private Waiting loser() {
    TenantQueue longest = null;
    for (TenantQueue tenant : bySchedule) {
      if (longest == null || tenant.losesBefore(longest)) {
        longest = tenant;
      }
    }
    return longest.calls.last();
  }

  private void unlink(Waiting waiting) {
    byId.remove(waiting.call.id());
    byDeadline.remove(waiting);
    TenantQueue tenant = tenants.get(waiting.call.tenant());
    tenant.calls.remove(waiting);
    if (!tenant.calls.isEmpty()) {
      return;
    }
    bySchedule.remove(tenant);
    if (tenant.virtualTime <= virtualTime) {
      tenants.remove(tenant.name);
    }
    forgetIdleTenants();
  }

  private void forgetIdleTenants() {
    if (tenants.size() <= 2 * boundCalls) {
      return;
    }
    tenants.values().removeIf(tenant -> tenant.calls.isEmpty());
  }

  private record Waiting(CallFacts call, long order) {}

  private static final class TenantQueue implements Comparable<TenantQueue> {
    private static final Comparator<Waiting> HEAVIEST_FIRST =
        (a, b) -> {
          int byWeight = Integer.compare(b.call.weight(), a.call.weight());
          return byWeight != 0 ? byWeight : Long.compare(a.order, b.order);
        };

    private final TenantName name;
    private final TreeSet<Waiting> calls = new TreeSet<>(HEAVIEST_FIRST);
    private long virtualTime;

    TenantQueue(TenantName name) {
      this.name = name;
    }

    int aheadOf(int weight) {
      int ahead = 0;
      for (Waiting waiting : calls) {
        if (waiting.call.weight() < weight) {
          return ahead;
        }
        ahead++;
      }
      return ahead;
    }

    boolean losesBefore(TenantQueue other) {
      if (calls.size() != other.calls.size()) {
        return calls.size() > other.calls.size();
      }
      return calls.last().call.weight() < other.calls.last().call.weight();
    }

    @Override
    public int compareTo(TenantQueue other) {
      int byTime = Long.compare(virtualTime, other.virtualTime);
      return byTime != 0 ? byTime : name.compareTo(other.name);
    }
  }
}
