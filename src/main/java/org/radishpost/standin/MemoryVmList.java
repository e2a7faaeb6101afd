package org.radishpost.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.VmListUnavailableException;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import org.radishpost.store.VmList;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * An in-memory implementation of the platform's list of VMs, which can be delayed or unavailable.
 *
 * <p>Thread-safe. All times come from the scheduler.
 */
public final class MemoryVmList implements VmList {
  private static final int MAX_SNAPSHOTS = 1000;

  private final Scheduler clock;
  private final Map<VmId, VmEntry> entries = new TreeMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private Duration lag = Duration.ZERO;
  private boolean down;

  /** Creates an empty list without delay. */
  public MemoryVmList(Scheduler clock) {
    this.clock = clock;
    snapshots.add(new Snapshot(Long.MIN_VALUE, List.of()));
  }

  /** Adds a VM, or replaces the one with the same id. */
  public synchronized void put(VmEntry vm) {
    entries.put(vm.id(), vm);
    recordSnapshot();
  }

  /** Removes a VM. */
  public synchronized void remove(VmId vm) {
    entries.remove(vm);
    recordSnapshot();
  }

  /** Sets the age of the list that following reads return. */
  public synchronized void setLag(Duration newLag) {
    lag = newLag;
  }

  /** Sets whether reads fail. */
  public synchronized void setDown(boolean newDown) {
    down = newDown;
  }

  /** Returns the current list, regardless of the lag. */
  public synchronized List<VmEntry> entries() {
    return List.copyOf(entries.values());
  }

  @Override
  public Mono<List<VmEntry>> read() {
    return Mono.defer(this::readNow);
  }

  private synchronized Mono<List<VmEntry>> readNow() {
    if (down) {
      return Mono.error(
          new VmListUnavailableException("The platform's list of VMs is down: try again later."));
    }
    long visibleUntilMillis = nowMillis() - lag.toMillis();
    List<VmEntry> visible = List.of();
    for (Snapshot snapshot : snapshots) {
      if (snapshot.sinceMillis() > visibleUntilMillis) {
        break;
      }
      visible = snapshot.vms();
    }
    return Mono.just(visible);
  }

  private void recordSnapshot() {
    snapshots.add(new Snapshot(nowMillis(), entries()));
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.removeFirst();
    }
  }

  private long nowMillis() {
    return clock.now(TimeUnit.MILLISECONDS);
  }

  private record Snapshot(long sinceMillis, List<VmEntry> vms) {}
}
