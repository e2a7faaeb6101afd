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
 * Compares ways to choose the peers of control links, and times the lookup of owners.
 *
 * <p>Run its {@link #main}; the one argument is the number of seeds.
 */
public final class MembershipModel {
  private static final int DEFAULT_SEEDS = 20;
  private static final int REGIONS = 3;
  private static final int ZONES = 7;
  private static final int REPLACED_A_DAY = 17;
  private static final int WARM_UP_ROUNDS = 16;
  private static final int SPREAD_SOURCES = 8;
  private static final int POOLS = 1000;
  private static final int LOOKUPS = 4_000_000;

  private final int vms;
  private final int seeds;

  private MembershipModel(int vms, int seeds) {
    this.vms = vms;
    this.seeds = seeds;
  }

  /** Prints the comparison for three sizes. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
    System.out.println(
        "| VMs | peers chosen by | degree min/mean/max | rounds mean/max | split by a day's"
            + " failures | split by a zone | region split when parted | links made a day |");
    System.out.println("|---|---|---|---|---|---|---|---|");
    for (int vms : new int[] {16, 150, 600}) {
      new MembershipModel(vms, seeds).compare();
    }
    for (int vms : new int[] {16, 600}) {
      timeLookups(vms);
    }
  }

  private void compare() {
    Map<String, PeerPlan> plans = new HashMap<>();
    if (vms <= PeerPlan.DEFAULT.maxFullMeshVms()) {
      plans.put("full mesh", PeerPlan.DEFAULT);
    }
    plans.put("plan 0+3+1", new PeerPlan(0, 0, 3, 1));
    plans.put("plan 1+2+1", new PeerPlan(0, 1, 2, 1));
    plans.put("plan 2+2+1", new PeerPlan(0, 2, 2, 1));
    plans.put("plan 1+3+1", new PeerPlan(0, 1, 3, 1));
    plans.put("ring 2+0+1", new PeerPlan(0, 2, 0, 1));
    plans.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(
            plan -> report(plan.getKey(), (tally, seed) -> runPlan(plan.getValue(), tally, seed)));
    for (int wanted : new int[] {8, 10}) {
      report("rotation C=" + wanted, (tally, seed) -> runRotation(wanted, tally, seed));
    }
  }

  private void report(String name, BiConsumer<Tally, Integer> run) {
    Tally tally = new Tally();
    IntStream.range(0, seeds).forEach(seed -> run.accept(tally, seed));
    System.out.printf(
        Locale.ROOT,
        "| %d | %s | %d / %.1f / %d | %.1f / %d | %.4f | %.4f | %.4f | %.0f |%n",
        vms,
        name,
        tally.degreeMin,
        tally.degreeSum / (double) tally.degreeCount,
        tally.degreeMax,
        tally.roundSum / (double) Math.max(1, tally.roundCount),
        tally.roundMax,
        tally.splitByDay / (double) seeds,
        tally.splitByZone / (double) (seeds * ZONES),
        tally.splitRegions / (double) (seeds * REGIONS),
        tally.linksMade / (double) seeds);
  }

  private void runPlan(PeerPlan plan, Tally tally, int seed) {
    RandomGenerator random = new SplittableRandom(seed);
    List<VmEntry> entries = entries(vms, seed);
    PeerGraph graph = graph(plan, entries);
    tally.add(graph, random);
    List<VmEntry> replaced = new ArrayList<>(entries);
    for (int i = 0; i < REPLACED_A_DAY; i++) {
      int at = random.nextInt(vms);
      replaced.set(at, entry(at, "new-" + seed + "-" + i));
    }
    tally.linksMade += madeAnew(entries, graph, replaced, graph(plan, replaced));
  }

  private static long madeAnew(
      List<VmEntry> before, PeerGraph old, List<VmEntry> after, PeerGraph fresh) {
    long made = 0;
    for (int one = 0; one < after.size(); one++) {
      for (int other : fresh.neighbours(one)) {
        boolean kept =
            old.linked(one, other)
                && before.get(one).equals(after.get(one))
                && before.get(other).equals(after.get(other));
        made += other > one && !kept ? 1 : 0;
      }
    }
    return made;
  }

  private void runRotation(int wanted, Tally tally, int seed) {
    RandomGenerator random = new SplittableRandom(seed);
    PeerGraph graph = new PeerGraph(vms);
    RotatingPeers rotation = new RotatingPeers(graph, wanted, REGIONS, random);
    IntStream.range(0, WARM_UP_ROUNDS).forEach(round -> rotation.round());
    tally.add(graph, random);
    PeerGraph before = new PeerGraph(vms);
    for (int vm = 0; vm < vms; vm++) {
      for (int other : graph.neighbours(vm)) {
        before.link(vm, other);
      }
    }
    rotation.round();
    tally.linksMade += TimeUnit.DAYS.toHours(1) * graph.linksNotIn(before);
  }

  private static PeerGraph graph(PeerPlan plan, List<VmEntry> entries) {
    List<Member> members = entries.stream().map(entry -> new Member(entry, true)).toList();
    Map<VmId, Integer> numbers = new HashMap<>();
    entries.forEach(entry -> numbers.put(entry.id(), numbers.size()));
    PeerGraph graph = new PeerGraph(entries.size());
    for (VmEntry entry : entries) {
      for (VmEntry peer : plan.peers(entry, members)) {
        graph.link(numbers.get(entry.id()), numbers.get(peer.id()));
      }
    }
    return graph;
  }

  private static List<VmEntry> entries(int vms, int seed) {
    return IntStream.range(0, vms).mapToObj(i -> entry(i, "vm-" + seed + "-" + i)).toList();
  }

  private static VmEntry entry(int number, String id) {
    int zone = number % ZONES;
    Endpoint address = new Endpoint("10.0." + number / 250 + "." + (1 + number % 250), 7000);
    Place place = Place.of("region-" + zone % REGIONS, "zone-" + zone);
    return new VmEntry(new VmId(id), place, address, address, false);
  }

  private static void timeLookups(int vms) {
    List<VmEntry> entries = entries(vms, 1);
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
      long start = clock.now(TimeUnit.NANOSECONDS);
      long found = lookUp(table, pools, LOOKUPS);
      long cachedNanos = clock.now(TimeUnit.NANOSECONDS) - start;
      long freshNanos = 0;
      int views = 20;
      for (int view = 0; view < views; view++) {
        table.updateList(entries);
        long begin = clock.now(TimeUnit.NANOSECONDS);
        found += lookUp(table, pools, POOLS);
        freshNanos += clock.now(TimeUnit.NANOSECONDS) - begin;
      }
      reportLookups(
          vms, pass, found, cachedNanos / (double) LOOKUPS, freshNanos / (double) views / POOLS);
    }
  }

  private static void reportLookups(int vms, int pass, long found, double cached, double fresh) {
    System.out.printf(
        Locale.ROOT,
        "owner lookup, %d VMs, pass %d: cached %.1f ns, first in a view %.1f ns (%d found)%n",
        vms,
        pass,
        cached,
        fresh,
        found);
  }

  private static long lookUp(MemberTable table, List<PoolId> pools, int times) {
    long found = 0;
    for (int i = 0; i < times; i++) {
      Optional<VmEntry> owner = table.ownerOf(pools.get(i % pools.size()));
      found += owner.isPresent() ? 1 : 0;
    }
    return found;
  }

  /** What was seen over all seeds. */
  private static final class Tally {
    private int degreeMin = Integer.MAX_VALUE;
    private int degreeMax;
    private long degreeSum;
    private long degreeCount;
    private long roundSum;
    private long roundCount;
    private int roundMax;
    private int splitByDay;
    private int splitByZone;
    private int splitRegions;
    private long linksMade;

    void add(PeerGraph graph, RandomGenerator random) {
      addDegrees(graph);
      addRounds(graph, random);
      splitByDay += graph.connects(without(graph, random, REPLACED_A_DAY)) ? 0 : 1;
      for (int zone = 0; zone < ZONES; zone++) {
        int lost = zone;
        splitByZone += graph.connects(where(graph, vm -> vm % ZONES != lost)) ? 0 : 1;
      }
      for (int region = 0; region < REGIONS; region++) {
        int own = region;
        splitRegions += graph.connects(where(graph, vm -> vm % ZONES % REGIONS == own)) ? 0 : 1;
      }
    }

    private void addDegrees(PeerGraph graph) {
      for (int vm = 0; vm < graph.size(); vm++) {
        int degree = graph.degree(vm);
        degreeMin = Math.min(degreeMin, degree);
        degreeMax = Math.max(degreeMax, degree);
        degreeSum += degree;
        degreeCount++;
      }
    }

    private void addRounds(PeerGraph graph, RandomGenerator random) {
      BitSet all = where(graph, vm -> true);
      for (int i = 0; i < SPREAD_SOURCES; i++) {
        int rounds = graph.rounds(random.nextInt(graph.size()), all);
        if (rounds >= 0) {
          roundSum += rounds;
          roundCount++;
          roundMax = Math.max(roundMax, rounds);
        }
      }
    }

    private static BitSet where(PeerGraph graph, IntPredicate wanted) {
      BitSet set = new BitSet(graph.size());
      IntStream.range(0, graph.size()).filter(wanted).forEach(set::set);
      return set;
    }

    private static BitSet without(PeerGraph graph, RandomGenerator random, int lost) {
      BitSet set = where(graph, vm -> true);
      List<Integer> order = random.ints(graph.size()).boxed().map(rank -> rank).toList();
      IntStream.range(0, graph.size())
          .boxed()
          .sorted(Comparator.comparing(order::get))
          .limit(Math.min(lost, graph.size() / 2))
          .forEach(set::clear);
      return set;
    }
  }
}
