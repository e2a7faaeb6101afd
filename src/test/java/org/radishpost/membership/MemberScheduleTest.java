package org.radishpost.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import org.testng.annotations.Test;

/** Two member tables that receive the same facts in random orders, some late and some never. */
public class MemberScheduleTest {
  private static final int STEPS = 200;
  private static final int VMS = 12;
  private static final Place[] PLACES = {
    Place.of("kozep", "kozep-1"), Place.of("kozep", "kozep-2"), Place.of("kelet", "kelet-1")
  };

  /** The true state, and the member tables of two VMs that are never replaced. */
  private static final class Simulation {
    private final Random random;
    private final List<VmEntry> alive = new ArrayList<>();
    private final List<VmEntry> everCreated;
    private final List<List<VmEntry>> pastLists = new ArrayList<>();
    private final List<TrackedTable> tables = new ArrayList<>();
    private Configuration configuration = Configuration.EMPTY;
    private int created;

    Simulation(long seed) {
      random = new Random(seed);
      while (alive.size() < VMS) {
        alive.add(create(alive.size()));
      }
      everCreated = new ArrayList<>(alive);
      pastLists.add(List.copyOf(alive));
      tables.add(new TrackedTable(alive.get(0)));
      tables.add(new TrackedTable(alive.get(1)));
    }

    private VmEntry create(int address) {
      Place place = PLACES[address % PLACES.length];
      return MemberTableTest.vm("vm-" + address + "-" + created++, address, place);
    }

    void step() {
      TrackedTable tracked = tables.get(random.nextInt(tables.size()));
      switch (random.nextInt(8)) {
        case 0 -> replace(2 + random.nextInt(VMS - 2));
        case 1 -> tracked.table.updateList(pastLists.get(random.nextInt(pastLists.size())));
        case 2, 3 -> tracked.linkUp(any(alive));
        case 4 -> tracked.linkDown(any(everCreated));
        case 5 -> tracked.shutdownAnnounced(any(everCreated).id());
        case 6 -> changeConfiguration();
        default -> tracked.updateConfiguration(configuration);
      }
      tables.forEach(TrackedTable::check);
    }

    /** Replaces a VM by one with the same address. */
    private void replace(int index) {
      alive.set(index, create(index));
      everCreated.add(alive.get(index));
      pastLists.add(List.copyOf(alive));
    }

    private void changeConfiguration() {
      Scope zone = new Scope(Scope.Kind.ZONE, PLACES[random.nextInt(2)].zone().value());
      Scope vm = new Scope(Scope.Kind.VM, any(alive).id().value());
      Set<Scope> out = random.nextBoolean() ? Set.of(zone) : Set.of(vm);
      configuration = new Configuration(configuration.version() + 1, Map.of(), out);
    }

    /** Applies the complete true state to all tables, to each in a different order. */
    void converge(Set<VmId> shutdownAnnounced) {
      for (TrackedTable tracked : tables) {
        tracked.updateConfiguration(configuration);
        tracked.table.updateList(alive);
        List<VmEntry> order = new ArrayList<>(everCreated);
        Collections.shuffle(order, random);
        for (VmEntry vm : order) {
          if (!alive.contains(vm)) {
            tracked.linkDown(vm);
          } else {
            tracked.linkUp(vm);
          }
        }
        shutdownAnnounced.forEach(tracked::shutdownAnnounced);
        tracked.check();
      }
    }

    private VmEntry any(List<VmEntry> from) {
      return from.get(random.nextInt(from.size()));
    }
  }

  /** A member table with the facts that it has received. */
  private static final class TrackedTable {
    private final MemberTable table;
    private final Set<VmId> down = new HashSet<>();
    private final Set<VmId> shuttingDown = new HashSet<>();
    private Configuration configuration = Configuration.EMPTY;

    TrackedTable(VmEntry self) {
      table = new MemberTable(self);
    }

    void linkUp(VmEntry vm) {
      table.linkUp(vm);
      down.remove(vm.id());
    }

    void linkDown(VmEntry vm) {
      boolean known = table.find(vm.id()).isPresent() && !vm.equals(table.self());
      table.linkDown(vm.id());
      if (known && table.find(vm.id()).isPresent()) {
        down.add(vm.id());
      }
    }

    void shutdownAnnounced(VmId vm) {
      table.shutdownAnnounced(vm);
      if (table.find(vm).isPresent()) {
        shuttingDown.add(vm);
      }
    }

    void updateConfiguration(Configuration newConfiguration) {
      configuration = newConfiguration;
      table.updateConfiguration(newConfiguration);
    }

    void check() {
      down.removeIf(vm -> table.find(vm).isEmpty());
      shuttingDown.removeIf(vm -> table.find(vm).isEmpty());
      for (VmEntry owner : owners(table)) {
        assertFalse(down.contains(owner.id()), "owner " + owner + " is down");
        assertFalse(
            shuttingDown.contains(owner.id()), "owner " + owner + " announced its shutdown");
        assertTrue(
            configuration.inService(owner.id(), owner.place()), owner + " is out of service");
      }
    }
  }

  private static List<VmEntry> owners(MemberTable table) {
    List<VmEntry> owners = new ArrayList<>();
    for (int number = 0; number < 20; number++) {
      for (Place place : PLACES) {
        table.ownerOf(MemberTableTest.pool(number, place)).ifPresent(owners::add);
      }
      Optional<VmEntry> shard =
          table.ownerOfShard("shard-" + number, Set.of(PLACES[number % 3].region()));
      shard.ifPresent(owners::add);
    }
    return owners;
  }

  @Test
  public void ownersAgreeAfterViewsConverge() {
    int seeds = Integer.getInteger("seeds", 40);
    for (int seed = 0; seed < seeds; seed++) {
      try {
        Simulation simulation = new Simulation(seed);
        for (int step = 0; step < STEPS; step++) {
          simulation.step();
        }
        Set<VmId> shuttingDown = new HashSet<>();
        simulation.tables.forEach(tracked -> shuttingDown.addAll(tracked.shuttingDown));
        simulation.converge(shuttingDown);
        assertEquals(
            owners(simulation.tables.get(0).table), owners(simulation.tables.get(1).table));
      } catch (AssertionError failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
  }
}
