package org.radishpost.bench;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.VmId;
import org.radishpost.membership.Member;
import org.radishpost.membership.MemberTable;
import org.radishpost.membership.PeerPlan;
import org.radishpost.store.VmEntry;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Compares strategies for choosing the peers of control links and measures the time of owner
 * lookups.
 *
 * <p>Run {@link #main} with the number of seeds as its only argument.
 */
public final class MembershipModel {
  private static final int DEFAULT_SEEDS = 20;
  private static final int REGIONS = 3;
  private static final int ZONES = 7;
  private static final int VMS_REPLACED_PER_DAY = 17;
  private static final int WARM_UP_ROUNDS = 16;
  private static final int BROADCAST_SOURCES = 8;
  private static final int POOLS = 1000;
  private static final int LOOKUPS = 4_000_000;

  private final int vmCount;
  private final int seedCount;

  private MembershipModel(int vmCount, int seedCount) {
    this.vmCount = vmCount;
    this.seedCount = seedCount;
  }

  /**
   * Prints the comparison for three numbers of VMs and the lookup times for two.
   *
   * @param args the number of seeds, 20 by default
   */
  public static void main(String[] args) {
    int seedCount = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
    System.out.println(
        "| VMs | peers chosen by | degree min/mean/max | rounds mean/max | split by one day's"
            + " failures | split by a zone | region split when isolated | links opened per day |");
    System.out.println("|---|---|---|---|---|---|---|---|");
    for (int vmCount : new int[] {16, 150, 600}) {
      new MembershipModel(vmCount, seedCount).compareStrategies();
    }
    for (int vmCount : new int[] {16, 600}) {
      timeLookups(vmCount);
    }
  }

  private void compareStrategies() {
    Map<String, PeerPlan> plansByName = new HashMap<>();
    if (vmCount <= PeerPlan.DEFAULT.maxFullMeshVms()) {
      plansByName.put("full mesh", PeerPlan.DEFAULT);
    }
    plansByName.put("plan 0+3+1", new PeerPlan(0, 0, 3, 1));
    plansByName.put("plan 1+2+1", new PeerPlan(0, 1, 2, 1));
    plansByName.put("plan 2+2+1", new PeerPlan(0, 2, 2, 1));
    plansByName.put("plan 1+3+1", new PeerPlan(0, 1, 3, 1));
    plansByName.put("ring 2+0+1", new PeerPlan(0, 2, 0, 1));
    plansByName.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(
            plan ->
                report(
                    plan.getKey(),
                    (statistics, seed) -> evaluatePlan(plan.getValue(), statistics, seed)));
    for (int targetDegree : new int[] {8, 10}) {
      report(
          "rotation C=" + targetDegree,
          (statistics, seed) -> evaluateRotation(targetDegree, statistics, seed));
    }
  }

  private void report(String name, BiConsumer<Statistics, Integer> run) {
    Statistics statistics = new Statistics();
    IntStream.range(0, seedCount).forEach(seed -> run.accept(statistics, seed));
    System.out.printf(
        Locale.ROOT,
        "| %d | %s | %d / %.1f / %d | %.1f / %d | %.4f | %.4f | %.4f | %.0f |%n",
        vmCount,
        name,
        statistics.minDegree,
        statistics.degreeSum / (double) statistics.degreeCount,
        statistics.maxDegree,
        statistics.roundsSum / (double) Math.max(1, statistics.roundsCount),
        statistics.maxRounds,
        statistics.splitsByDailyFailures / (double) seedCount,
        statistics.splitsByZoneLoss / (double) (seedCount * ZONES),
        statistics.splitIsolatedRegions / (double) (seedCount * REGIONS),
        statistics.newLinksPerDay / (double) seedCount);
  }

  private void evaluatePlan(PeerPlan plan, Statistics statistics, int seed) {
    RandomGenerator random = new SplittableRandom(seed);
    List<VmEntry> entries = createEntries(vmCount, seed);
    PeerGraph graph = createGraph(plan, entries);
    statistics.add(graph, random);
    List<VmEntry> entriesAfter = new ArrayList<>(entries);
    for (int i = 0; i < VMS_REPLACED_PER_DAY; i++) {
      int index = random.nextInt(vmCount);
      entriesAfter.set(index, createEntry(index, "new-" + seed + "-" + i));
    }
    statistics.newLinksPerDay +=
        countNewLinks(entries, graph, entriesAfter, createGraph(plan, entriesAfter));
  }

  private static long countNewLinks(
      List<VmEntry> entriesBefore,
      PeerGraph graphBefore,
      List<VmEntry> entriesAfter,
      PeerGraph graphAfter) {
    long newLinks = 0;
    for (int vm = 0; vm < entriesAfter.size(); vm++) {
      for (int peer : graphAfter.neighbors(vm)) {
        boolean kept =
            graphBefore.hasLink(vm, peer)
                && entriesBefore.get(vm).equals(entriesAfter.get(vm))
                && entriesBefore.get(peer).equals(entriesAfter.get(peer));
        newLinks += peer > vm && !kept ? 1 : 0;
      }
    }
    return newLinks;
  }

  private void evaluateRotation(int targetDegree, Statistics statistics, int seed) {
    RandomGenerator random = new SplittableRandom(seed);
    PeerGraph graph = new PeerGraph(vmCount);
    PeerRotation rotation = new PeerRotation(graph, targetDegree, REGIONS, random);
    IntStream.range(0, WARM_UP_ROUNDS).forEach(round -> rotation.runRound());
    statistics.add(graph, random);
    PeerGraph before = new PeerGraph(vmCount);
    for (int vm = 0; vm < vmCount; vm++) {
      for (int peer : graph.neighbors(vm)) {
        before.addLink(vm, peer);
      }
    }
    rotation.runRound();
    statistics.newLinksPerDay += TimeUnit.DAYS.toHours(1) * graph.countLinksNotIn(before);
  }

  private static PeerGraph createGraph(PeerPlan plan, List<VmEntry> entries) {
    List<Member> members = entries.stream().map(entry -> new Member(entry, true)).toList();
    Map<VmId, Integer> indexes = new HashMap<>();
    entries.forEach(entry -> indexes.put(entry.id(), indexes.size()));
    PeerGraph graph = new PeerGraph(entries.size());
    for (VmEntry entry : entries) {
      for (VmEntry peer : plan.peers(entry, members)) {
        graph.addLink(indexes.get(entry.id()), indexes.get(peer.id()));
      }
    }
    return graph;
  }

  private static List<VmEntry> createEntries(int vmCount, int seed) {
    return IntStream.range(0, vmCount)
        .mapToObj(i -> createEntry(i, "vm-" + seed + "-" + i))
        .toList();
  }

  private static VmEntry createEntry(int index, String id) {
    int zoneIndex = index % ZONES;
    Endpoint address = new Endpoint("10.0." + index / 250 + "." + (1 + index % 250), 7000);
    Place place = Place.of("region-" + zoneIndex % REGIONS, "zone-" + zoneIndex);
    return new VmEntry(new VmId(id), place, address, address, false);
  }

  private static void timeLookups(int vmCount) {
    List<VmEntry> entries = createEntries(vmCount, 1);
    List<PoolId> pools =
        IntStream.range(0, POOLS)
            .mapToObj(
                i ->
                    new PoolId(
                        new GatewayName("gateway"),
                        new ServiceName("service-" + i),
                        entries.get(i % ZONES).place(),
                        0))
            .toList();
    MemberTable table = new MemberTable(entries.getFirst());
    table.updateList(entries);
    Scheduler clock = Schedulers.immediate();
    for (int pass = 0; pass < 3; pass++) {
      long startNanos = clock.now(TimeUnit.NANOSECONDS);
      long found = lookUp(table, pools, LOOKUPS);
      long cachedNanos = clock.now(TimeUnit.NANOSECONDS) - startNanos;
      long uncachedNanos = 0;
      int viewCount = 20;
      for (int view = 0; view < viewCount; view++) {
        table.updateList(entries);
        long viewStartNanos = clock.now(TimeUnit.NANOSECONDS);
        found += lookUp(table, pools, POOLS);
        uncachedNanos += clock.now(TimeUnit.NANOSECONDS) - viewStartNanos;
      }
      reportLookups(
          vmCount,
          pass,
          found,
          cachedNanos / (double) LOOKUPS,
          uncachedNanos / (double) viewCount / POOLS);
    }
  }

  private static void reportLookups(
      int vmCount, int pass, long found, double cachedNanos, double uncachedNanos) {
    System.out.printf(
        Locale.ROOT,
        "owner lookup, %d VMs, pass %d: cached %.1f ns, first in a view %.1f ns (%d found)%n",
        vmCount,
        pass,
        cachedNanos,
        uncachedNanos,
        found);
  }

  private static long lookUp(MemberTable table, List<PoolId> pools, int lookups) {
    long found = 0;
    for (int i = 0; i < lookups; i++) {
      Optional<VmEntry> owner = table.ownerOf(pools.get(i % pools.size()));
      found += owner.isPresent() ? 1 : 0;
    }
    return found;
  }

  /** Accumulates the measurements of one strategy over all seeds. */
  private static final class Statistics {
    private int minDegree = Integer.MAX_VALUE;
    private int maxDegree;
    private long degreeSum;
    private long degreeCount;
    private long roundsSum;
    private long roundsCount;
    private int maxRounds;
    private int splitsByDailyFailures;
    private int splitsByZoneLoss;
    private int splitIsolatedRegions;
    private long newLinksPerDay;

    void add(PeerGraph graph, RandomGenerator random) {
      addDegrees(graph);
      addRounds(graph, random);
      splitsByDailyFailures +=
          graph.isConnected(withoutRandomVms(graph, random, VMS_REPLACED_PER_DAY)) ? 0 : 1;
      for (int zone = 0; zone < ZONES; zone++) {
        int lostZone = zone;
        splitsByZoneLoss +=
            graph.isConnected(selectVms(graph, vm -> vm % ZONES != lostZone)) ? 0 : 1;
      }
      for (int region = 0; region < REGIONS; region++) {
        int keptRegion = region;
        splitIsolatedRegions +=
            graph.isConnected(selectVms(graph, vm -> vm % ZONES % REGIONS == keptRegion)) ? 0 : 1;
      }
    }

    private void addDegrees(PeerGraph graph) {
      for (int vm = 0; vm < graph.size(); vm++) {
        int degree = graph.degree(vm);
        minDegree = Math.min(minDegree, degree);
        maxDegree = Math.max(maxDegree, degree);
        degreeSum += degree;
        degreeCount++;
      }
    }

    private void addRounds(PeerGraph graph, RandomGenerator random) {
      BitSet allVms = selectVms(graph, vm -> true);
      for (int i = 0; i < BROADCAST_SOURCES; i++) {
        int rounds = graph.broadcastRounds(random.nextInt(graph.size()), allVms);
        if (rounds >= 0) {
          roundsSum += rounds;
          roundsCount++;
          maxRounds = Math.max(maxRounds, rounds);
        }
      }
    }

    private static BitSet selectVms(PeerGraph graph, IntPredicate predicate) {
      BitSet set = new BitSet(graph.size());
      IntStream.range(0, graph.size()).filter(predicate).forEach(set::set);
      return set;
    }

    private static BitSet withoutRandomVms(PeerGraph graph, RandomGenerator random, int lostCount) {
      BitSet set = selectVms(graph, vm -> true);
      List<Integer> randomRanks = random.ints(graph.size()).boxed().map(rank -> rank).toList();
      IntStream.range(0, graph.size())
          .boxed()
          .sorted(Comparator.comparing(randomRanks::get))
          .limit(Math.min(lostCount, graph.size() / 2))
          .forEach(set::clear);
      return set;
    }
  }
}
