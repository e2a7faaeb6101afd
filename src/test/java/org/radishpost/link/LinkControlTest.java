package org.radishpost.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.radishpost.store.VmEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Links that fail in virtual time. */
public class LinkControlTest {
  private static final Duration DETECTION = Duration.ofMillis(140);
  private static final Duration A_WHILE = Duration.ofSeconds(10);

  private final VmEntry one = LinkFixture.entry("one", 7001);
  private final VmEntry two = LinkFixture.entry("two", 7002);
  private FakeNetwork net;
  private LinkControl first;
  private LinkControl second;

  /** Creates two VMs without links. */
  @BeforeMethod
  public void createVms() {
    net = new FakeNetwork();
    first = net.add(one);
    second = net.add(two);
  }

  private void linkBoth() {
    first.keep(Set.of(two));
    second.keep(Set.of(one));
    net.run(A_WHILE);
    net.take(one);
    net.take(two);
  }

  @Test
  public void twoThatDialEachOtherEndWithOneLinkAndNoDown() {
    first.keep(Set.of(two));
    second.keep(Set.of(one));
    net.run(A_WHILE);
    assertEquals(net.take(one), List.of(new PeerEvent.Up(two), new PeerEvent.Up(two)));
    Link own = first.peerOf(two.id()).preferred().orElseThrow();
    Link others = second.peerOf(one.id()).preferred().orElseThrow();
    assertEquals(own.session().id(), others.session().id());
    assertEquals(first.peerOf(two.id()).standing().size(), 1);
    assertTrue(own.dialer(), "the smaller identity's link stays");
  }

  @Test
  public void silentBusyLinkIsDownWithinTensOfMillisAndNewOneOpens() {
    linkBoth();
    first.peerOf(two.id()).preferred().orElseThrow().session().nextSequence();
    net.run(Duration.ofMillis(30));
    net.silenceOpenLinks();
    net.run(DETECTION);
    assertEquals(net.take(one), List.of(new PeerEvent.Down(two.id())));
    net.run(DETECTION);
    assertEquals(net.take(one), List.of(new PeerEvent.Up(two)));
    net.run(A_WHILE);
    assertEquals(net.take(one), List.of());
  }

  @Test
  public void linkCutInOneDirectionIsDownAtBothEndsUntilItHeals() {
    linkBoth();
    net.cut(one, two);
    net.run(A_WHILE);
    assertTrue(net.take(one).stream().allMatch(new PeerEvent.Down(two.id())::equals));
    assertTrue(net.take(two).stream().allMatch(new PeerEvent.Down(one.id())::equals));
    assertTrue(first.peerOf(two.id()).preferred().isEmpty());
    assertTrue(second.peerOf(one.id()).preferred().isEmpty());
    net.heal();
    net.run(Duration.ofSeconds(2));
    assertEquals(net.take(one).getLast(), new PeerEvent.Up(two));
    assertEquals(net.take(two).getLast(), new PeerEvent.Up(one));
  }

  @Test
  public void connectionsThatCloseAndComeBackBringNoDown() {
    linkBoth();
    net.reset();
    net.run(A_WHILE);
    assertTrue(net.take(one).stream().allMatch(new PeerEvent.Up(two)::equals));
  }

  @Test
  public void linkOnDemandIsReleasedWhenNothingUsesIt() {
    first.connect(two);
    net.run(Duration.ofSeconds(1));
    assertEquals(net.take(one), List.of(new PeerEvent.Up(two)));
    net.run(FakeNetwork.OPTIONS.demandTime().plusSeconds(5));
    assertEquals(net.take(one), List.of(new PeerEvent.Released(two.id())));
    assertEquals(net.take(two), List.of(new PeerEvent.Up(one), new PeerEvent.Released(one.id())));
  }

  @Test
  public void vmThatTookOverAnAddressIsUpAndTheOldOneDown() {
    VmEntry old = LinkFixture.entry("old", 7002);
    net.takeOver(old, two);
    first.keep(Set.of(old));
    net.run(Duration.ofMillis(15));
    assertEquals(net.take(one), List.of(new PeerEvent.Down(old.id()), new PeerEvent.Up(two)));
  }

  @Test
  public void farewellIsNotDialedAgain() {
    linkBoth();
    first.told(two.id(), new LinkMessage.Farewell());
    net.reset();
    net.run(A_WHILE);
    List<PeerEvent> events = net.take(one);
    assertEquals(events.getFirst(), new PeerEvent.Down(two.id()));
  }
}
