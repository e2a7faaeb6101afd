package org.radishpost.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import org.testng.annotations.Test;

/** Liveness of members and ownership of pools and shards. */
public class MemberTableTest {
  private static final Place[] PLACES = {
    Place.of("kozep", "kozep-1"),
    Place.of("kozep", "kozep-2"),
    Place.of("kelet", "kelet-1"),
    Place.of("kelet", "kelet-2")
  };
  private static final List<VmEntry> VMS =
      IntStream.range(0, 16).mapToObj(i -> vm("vm-" + i, i, PLACES[i % 4])).toList();

  static VmEntry vm(String id, int number, Place place) {
    Endpoint address = new Endpoint("10.0." + number / 250 + "." + (1 + number % 250), 7000);
    return new VmEntry(new VmId(id), place, address, address, false);
  }

  static PoolId pool(int number, Place place) {
    return new PoolId(new GatewayName("g"), new ServiceName("s" + number), place, 0);
  }

  private static MemberTable table() {
    MemberTable table = new MemberTable(VMS.getFirst());
    table.updateList(VMS);
    return table;
  }

  private static Configuration out(Scope.Kind kind, String name) {
    return new Configuration(2, Map.of(), Set.of(new Scope(kind, name)));
  }

  private static List<VmEntry> owners(Members members) {
    List<VmEntry> owners = new ArrayList<>();
    for (int number = 0; number < 50; number++) {
      for (Place place : PLACES) {
        owners.add(members.ownerOf(pool(number, place)).orElseThrow());
      }
    }
    return owners;
  }

  @Test
  public void ownerIsInPoolZoneAndOnlyPoolsOfLostVmMove() {
    MemberTable table = table();
    List<VmEntry> before = owners(table);
    for (int i = 0; i < before.size(); i++) {
      assertEquals(before.get(i).place(), PLACES[i % 4]);
    }
    VmEntry lost = before.getFirst().equals(VMS.getFirst()) ? before.get(1) : before.getFirst();
    table.linkDown(lost.id());
    List<VmEntry> after = owners(table);
    for (int i = 0; i < before.size(); i++) {
      assertEquals(after.get(i).equals(before.get(i)), !before.get(i).equals(lost));
    }
    table.linkUp(lost);
    assertEquals(owners(table), before, "the VM owns its pools again once its link is up");
  }

  @Test
  public void poolsOfOutOfServiceZoneMoveWithinRegion() {
    MemberTable table = table();
    table.updateConfiguration(out(Scope.Kind.ZONE, "kelet-1"));
    VmEntry owner = table.ownerOf(pool(1, PLACES[2])).orElseThrow();
    assertEquals(owner.place(), PLACES[3]);
    assertTrue(
        table.find(VMS.get(2).id()).orElseThrow().alive(),
        "its VMs are still alive and accept calls");
    table.updateConfiguration(out(Scope.Kind.REGION, "kelet"));
    owner = table.ownerOf(pool(1, PLACES[2])).orElseThrow();
    assertEquals(owner.place().region().value(), "kozep");
    assertEquals(table.ownerOfShard("x", Set.of(new RegionName("kelet"))), Optional.empty());
  }

  @Test
  public void shutdownNoticeOverridesStaleList() {
    MemberTable table = table();
    VmEntry leaving = table.ownerOf(pool(1, PLACES[1])).orElseThrow();
    table.linkUp(leaving);
    table.shutdownAnnounced(leaving.id());
    assertNotEquals(table.ownerOf(pool(1, PLACES[1])), Optional.of(leaving));
    table.updateList(VMS);
    table.linkDown(leaving.id());
    table.linkUp(leaving);
    assertNotEquals(table.ownerOf(pool(1, PLACES[1])), Optional.of(leaving));
  }

  @Test
  public void lastAuthenticatedVmHoldsTheAddress() {
    MemberTable table = table();
    VmEntry oldVm = VMS.get(1);
    VmEntry replacement = vm("vm-1b", 1, oldVm.place());
    table.linkUp(oldVm);
    table.linkUp(replacement);
    assertFalse(table.find(oldVm.id()).orElseThrow().alive());
    assertTrue(table.find(replacement.id()).orElseThrow().alive());
    table.linkDown(oldVm.id());
    table.linkUp(oldVm);
    assertFalse(
        table.find(oldVm.id()).orElseThrow().alive(), "the older VM resumed and reconnected");
  }

  @Test
  public void linkedVmIsAliveWithoutListEntry() {
    MemberTable table = table();
    VmEntry newVm = vm("vm-new", 99, PLACES[1]);
    table.linkUp(newVm);
    table.updateList(VMS);
    assertTrue(table.find(newVm.id()).orElseThrow().alive());
    table.linkDown(newVm.id());
    assertEquals(table.find(newVm.id()), Optional.empty());
  }
}
