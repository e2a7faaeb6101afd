package org.radishpost.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpost.config.Configuration;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.membership.MemberRecord.LinkState;
import org.radishpost.store.VmEntry;

/**
 * The members according to the platform's list, corrected by the state of the links.
 *
 * <p>One thread must make all updates from list reads, link events and configurations; lookups are
 * thread-safe and use the newest view. While the list cannot be read, the last one remains in use.
 */
public final class MemberTable implements Members {
  private final VmEntry self;
  private final Map<VmId, MemberRecord> records = new HashMap<>();
  private final Map<VmId, Long> configVersions = new ConcurrentHashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private boolean selfShuttingDown;
  private long lastOrder;
  private volatile MemberView view;

  /** Creates a table that contains this VM only. */
  public MemberTable(VmEntry self) {
    this.self = self;
    rebuild();
  }

  /**
   * Applies the platform's list. Removes VMs that it no longer contains and to which no link is up.
   */
  public void updateList(List<VmEntry> entries) {
    records.values().forEach(record -> record.listed = false);
    for (VmEntry entry : entries) {
      if (!entry.id().equals(self.id())) {
        MemberRecord record = recordOf(entry);
        record.entry = entry;
        record.listed = true;
      }
    }
    removeUnknown();
    rebuild();
  }

  /** Records that a link to the VM is up and that the VM authenticated with this entry. */
  public void linkUp(VmEntry entry) {
    if (entry.id().equals(self.id())) {
      return;
    }
    MemberRecord record = recordOf(entry);
    if (!record.listed) {
      record.entry = entry;
    }
    if (record.authenticatedOrder == 0) {
      record.authenticatedOrder = ++lastOrder;
    }
    record.linkState = LinkState.UP;
    rebuild();
  }

  /**
   * Records that the last link to the VM was closed or timed out, or that the VM could not be
   * reached.
   */
  public void linkDown(VmId vm) {
    MemberRecord record = records.get(vm);
    if (record == null || record.linkState == LinkState.DOWN) {
      return;
    }
    record.linkState = LinkState.DOWN;
    removeUnknown();
    rebuild();
  }

  /**
   * Records that the links to the VM were closed because they were unused. Whether the VM is alive
   * then depends on the list.
   */
  public void linkReleased(VmId vm) {
    MemberRecord record = records.get(vm);
    if (record != null && record.linkState == LinkState.UP) {
      record.linkState = LinkState.UNKNOWN;
      removeUnknown();
      rebuild();
    }
  }

  /**
   * Records that the VM announced its shutdown. From then on it owns nothing, even if the list
   * still contains it.
   */
  public void shutdownAnnounced(VmId vm) {
    if (vm.equals(self.id())) {
      selfShuttingDown = true;
    }
    MemberRecord record = records.get(vm);
    if (record != null) {
      record.shuttingDown = true;
    }
    rebuild();
  }

  /**
   * Applies the active configuration, which defines the zones, regions and VMs that are out of
   * service.
   */
  public void updateConfiguration(Configuration newConfiguration) {
    boolean outOfServiceChanged =
        !newConfiguration.outOfService().equals(configuration.outOfService());
    configuration = newConfiguration;
    if (outOfServiceChanged) {
      rebuild();
    }
  }

  /** Records the version of the VM's active configuration. */
  public void configVersionReported(VmId vm, long configVersion) {
    if (records.containsKey(vm)) {
      configVersions.merge(vm, configVersion, Math::max);
    }
  }

  /** Returns the newest configuration version that any other VM has reported, 0 if none. */
  public long newestConfigVersion() {
    return configVersions.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  /** Returns the newest configuration version that the VM has reported. */
  public Optional<Long> configVersionOf(VmId vm) {
    return Optional.ofNullable(configVersions.get(vm));
  }

  @Override
  public VmEntry self() {
    return self;
  }

  @Override
  public List<Member> all() {
    return view.all();
  }

  @Override
  public Optional<Member> find(VmId vm) {
    return view.find(vm);
  }

  @Override
  public Optional<VmEntry> ownerOf(PoolId pool) {
    return view.ownerOf(pool);
  }

  @Override
  public Optional<VmEntry> ownerOfShard(String shard, Set<RegionName> regions) {
    return view.ownerOfShard(shard, regions);
  }

  private MemberRecord recordOf(VmEntry entry) {
    return records.computeIfAbsent(entry.id(), id -> new MemberRecord(entry, ++lastOrder));
  }

  private void removeUnknown() {
    records.values().removeIf(record -> !record.isKnown());
    configVersions.keySet().retainAll(records.keySet());
  }

  private void rebuild() {
    Set<VmId> superseded = superseded();
    List<Member> all = new ArrayList<>();
    all.add(new Member(self, !selfShuttingDown));
    for (MemberRecord record : records.values()) {
      boolean alive =
          record.linkState != LinkState.DOWN
              && !record.shuttingDown
              && !superseded.contains(record.entry.id());
      all.add(new Member(record.entry, alive));
    }
    all.sort(Comparator.comparing(member -> member.entry().id()));
    view = new MemberView(all, all.stream().filter(this::mayOwn).map(Member::entry).toList());
  }

  private boolean mayOwn(Member member) {
    VmEntry entry = member.entry();
    return member.alive() && !entry.leaving() && configuration.inService(entry.id(), entry.place());
  }

  private Set<VmId> superseded() {
    Map<Endpoint, MemberRecord> recordsByAddress = new HashMap<>();
    Set<VmId> superseded = new HashSet<>();
    for (MemberRecord record : records.values()) {
      MemberRecord current = recordsByAddress.get(record.entry.link());
      if (current == null) {
        recordsByAddress.put(record.entry.link(), record);
      } else if (record.supersedes(current)) {
        superseded.add(current.entry.id());
        recordsByAddress.put(record.entry.link(), record);
      } else {
        superseded.add(record.entry.id());
      }
    }
    return superseded;
  }
}
