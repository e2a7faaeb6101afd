package org.radishpost.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.radishpost.lib.Place;
import org.radishpost.store.VmEntry;
import org.testng.annotations.Test;

/** The selection of link peers. */
public class PeerPlanTest {
  private static final int MANY = 300;

  private static List<Member> members(int count, Predicate<Integer> alive) {
    return IntStream.range(0, count)
        .mapToObj(i -> new Member(vm("vm-" + i, i), alive.test(i)))
        .toList();
  }

  private static VmEntry vm(String id, int number) {
    int zone = number % 7;
    return MemberTableTest.vm(id, number, Place.of("region-" + zone % 3, "zone-" + zone));
  }

  private static Set<VmEntry> reachableFromFirst(List<Member> members, Predicate<VmEntry> among) {
    Map<VmEntry, Set<VmEntry>> links = new HashMap<>();
    for (Member member : members) {
      for (VmEntry peer : PeerPlan.DEFAULT.peers(member.entry(), members)) {
        links.computeIfAbsent(member.entry(), vm -> new HashSet<>()).add(peer);
        links.computeIfAbsent(peer, vm -> new HashSet<>()).add(member.entry());
      }
    }
    VmEntry first = members.stream().map(Member::entry).filter(among).findFirst().orElseThrow();
    Set<VmEntry> reached = new HashSet<>(Set.of(first));
    Deque<VmEntry> queue = new ArrayDeque<>(reached);
    while (!queue.isEmpty()) {
      for (VmEntry peer : links.get(queue.remove())) {
        if (among.test(peer) && reached.add(peer)) {
          queue.add(peer);
        }
      }
    }
    return reached;
  }

  @Test
  public void smallClusterIsFullMeshAndLargeClusterIsSparse() {
    List<Member> few = members(16, i -> true);
    assertEquals(PeerPlan.DEFAULT.peers(few.getFirst().entry(), few).size(), 15);
    List<Member> many = members(MANY, i -> true);
    for (Member member : many) {
      Set<VmEntry> peers = PeerPlan.DEFAULT.peers(member.entry(), many);
      assertEquals(peers.size(), 5);
      assertFalse(peers.contains(member.entry()));
    }
    List<Member> shuffled = new ArrayList<>(many);
    Collections.shuffle(shuffled, new Random(1));
    VmEntry self = many.getLast().entry();
    assertEquals(PeerPlan.DEFAULT.peers(self, shuffled), PeerPlan.DEFAULT.peers(self, many));
  }

  @Test
  public void isolatedRegionStaysConnected() {
    List<Member> many = members(MANY, i -> true);
    assertEquals(reachableFromFirst(many, vm -> true).size(), MANY);
    for (int region = 0; region < 3; region++) {
      String name = "region-" + region;
      Predicate<VmEntry> own = vm -> vm.place().region().value().equals(name);
      long expected = many.stream().map(Member::entry).filter(own).count();
      assertEquals(reachableFromFirst(many, own).size(), expected);
    }
  }

  @Test
  public void downPeersAreKeptAndReplaced() {
    List<Member> many = members(MANY, i -> i % 2 == 0);
    VmEntry self = many.getFirst().entry();
    Set<VmEntry> peers = PeerPlan.DEFAULT.peers(self, many);
    long alive =
        many.stream().filter(Member::alive).map(Member::entry).filter(peers::contains).count();
    assertEquals(alive, 5);
    assertTrue(peers.size() > 5 && peers.size() <= 5 + 4 * 2, "VMs that are down are selected too");
  }

  @Test
  public void vmWhoseAddressIsReusedIsNotSelected() {
    VmEntry self = vm("self", 0);
    VmEntry oldVm = vm("old", 1);
    VmEntry newVm = vm("fresh", 1);
    List<Member> members = List.of(new Member(oldVm, false), new Member(newVm, true));
    assertEquals(PeerPlan.DEFAULT.peers(self, members), Set.of(newVm));
  }
}
