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

/** Tables that learn the same things in chance orders, some late and some never. */
public class MemberScheduleTest {
  private static final int STEPS = 200;
  private static final int VMS = 12;
  private static final Place[] PLACES = {
    Place.of("kozep", "kozep-1"), Place.of("kozep", "kozep-2"), Place.of("kelet", "kelet-1")
  };

  /** What is true, and one table of each of two VMs that stay. */
  private static final class World {
    private final Random random;
    private final List<VmEntry> alive = new ArrayList<>();
    private final List<VmEntry> ever;
    private final List<List<VmEntry>> oldLists = new ArrayList<>();
    private final List<Seen> tables = new ArrayList<>();
    private Configuration configuration = Configuration.EMPTY;
    private int created;

    World(long seed) {
      random = new Random(seed);
      while (alive.size() < VMS) {
        alive.add(create(alive.size()));
      }
      ever = new ArrayList<>(alive);
      oldLists.add(List.copyOf(alive));
      tables.add(new Seen(alive.get(0)));
      tables.add(new Seen(alive.get(1)));
    }

    private VmEntry create(int address) {
      Place place = PLACES[address % PLACES.length];
      return MemberTableTest.vm("vm-" + address + "-" + created++, address, place);
    }

    void step() {
      Seen seen = tables.get(random.nextInt(tables.size()));
      switch (random.nextInt(8)) {
        case 0 -> replace(2 + random.nextInt(VMS - 2));
        case 1 -> seen.table.listRead(oldLists.get(random.nextInt(oldLists.size())));
        case 2, 3 -> seen.up(any(alive));
        case 4 -> seen.down(any(ever));
        case 5 -> seen.farewell(any(ever).id());
        case 6 -> changeConfiguration();
        default -> seen.configure(configuration);
      }
      tables.forEach(Seen::check);
    }

    /** Replaces a VM by one with the same address. */
    private void replace(int at) {
      alive.set(at, create(at));
      ever.add(alive.get(at));
      oldLists.add(List.copyOf(alive));
    }

    private void changeConfiguration() {
      Scope zone = new Scope(Scope.Kind.ZONE, PLACES[random.nextInt(2)].zone().value());
      Scope vm = new Scope(Scope.Kind.VM, any(alive).id().value());
      Set<Scope> out = random.nextBoolean() ? Set.of(zone) : Set.of(vm);
      configuration = new Configuration(configuration.version() + 1, Map.of(), out);
    }

    /** Lets all tables learn all that is true, each in its own order. */
    void settle(Set<VmId> left) {
      for (Seen seen : tables) {
        seen.configure(configuration);
        seen.table.listRead(alive);
        List<VmEntry> order = new ArrayList<>(ever);
        Collections.shuffle(order, random);
        for (VmEntry vm : order) {
          if (!alive.contains(vm)) {
            seen.down(vm);
          } else {
            seen.up(vm);
          }
        }
        left.forEach(seen::farewell);
        seen.check();
      }
    }

    private VmEntry any(List<VmEntry> from) {
      return from.get(random.nextInt(from.size()));
    }
  }

  /** A table with what it was told. */
  private static final class Seen {
    private final MemberTable table;
    private final Set<VmId> lost = new HashSet<>();
    private final Set<VmId> left = new HashSet<>();
    private Configuration configuration = Configuration.EMPTY;

    Seen(VmEntry self) {
      table = new MemberTable(self);
    }

    void up(VmEntry vm) {
      table.linkUp(vm);
      lost.remove(vm.id());
    }

    void down(VmEntry vm) {
      boolean known = table.find(vm.id()).isPresent() && !vm.equals(table.self());
      table.linkDown(vm.id());
      if (known && table.find(vm.id()).isPresent()) {
        lost.add(vm.id());
      }
    }

    void farewell(VmId vm) {
      table.farewell(vm);
      if (table.find(vm).isPresent()) {
        left.add(vm);
      }
    }

    void configure(Configuration inForce) {
      configuration = inForce;
      table.configuration(inForce);
    }

    void check() {
      lost.removeIf(vm -> table.find(vm).isEmpty());
      left.removeIf(vm -> table.find(vm).isEmpty());
      for (VmEntry owner : owners(table)) {
        assertFalse(lost.contains(owner.id()), "owner " + owner + " is lost");
        assertFalse(left.contains(owner.id()), "owner " + owner + " said farewell");
        assertTrue(configuration.inService(owner.id(), owner.place()), owner + " is out");
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
  public void ownersAgreeOnceViewsAgree() {
    int seeds = Integer.getInteger("seeds", 40);
    for (int seed = 0; seed < seeds; seed++) {
      try {
        World world = new World(seed);
        for (int step = 0; step < STEPS; step++) {
          world.step();
        }
        Set<VmId> left = new HashSet<>();
        world.tables.forEach(seen -> left.addAll(seen.left));
        world.settle(left);
        assertEquals(owners(world.tables.get(0).table), owners(world.tables.get(1).table));
      } catch (AssertionError failed) {
        throw new AssertionError("seed " + seed, failed);
      }
    }
  }
}
