package org.radishpost.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.radishpost.store.VmEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Failures of links in virtual time. */
public class LinkControlTest {
  private static final Duration DETECTION_TIME = Duration.ofMillis(140);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

  private final VmEntry one = LinkFixture.entry("one", 7001);
  private final VmEntry two = LinkFixture.entry("two", 7002);
  private FakeNetwork network;
  private LinkControl first;
  private LinkControl second;

  /** Creates two VMs without links. */
  @BeforeMethod
  public void createVms() {
    network = new FakeNetwork();
    first = network.add(one);
    second = network.add(two);
  }

  private void linkBoth() {
    first.setPersistentPeers(Set.of(two));
    second.setPersistentPeers(Set.of(one));
    network.advance(SETTLE_TIME);
    network.takeEvents(one);
    network.takeEvents(two);
  }

  @Test
  public void simultaneousDialsLeaveOneLinkWithoutDownEvent() {
    first.setPersistentPeers(Set.of(two));
    second.setPersistentPeers(Set.of(one));
    network.advance(SETTLE_TIME);
    assertEquals(network.takeEvents(one), List.of(new PeerEvent.Up(two), new PeerEvent.Up(two)));
    Link own = first.findOrCreatePeer(two.id()).preferred().orElseThrow();
    Link others = second.findOrCreatePeer(one.id()).preferred().orElseThrow();
    assertEquals(own.session().id(), others.session().id());
    assertEquals(first.findOrCreatePeer(two.id()).openLinks().size(), 1);
    assertTrue(own.dialer(), "the link dialed by the VM with the smaller ID remains");
  }

  @Test
  public void halfOpenBusyLinkIsDetectedWithinTensOfMillisAndReplaced() {
    linkBoth();
    first.findOrCreatePeer(two.id()).preferred().orElseThrow().session().nextSequence();
    network.advance(Duration.ofMillis(30));
    network.blackholeOpenLinks();
    network.advance(DETECTION_TIME);
    assertEquals(network.takeEvents(one), List.of(new PeerEvent.Down(two.id())));
    network.advance(DETECTION_TIME);
    assertEquals(network.takeEvents(one), List.of(new PeerEvent.Up(two)));
    network.advance(SETTLE_TIME);
    assertEquals(network.takeEvents(one), List.of());
  }

  @Test
  public void linkBlockedInOneDirectionIsDownAtBothEndsUntilUnblocked() {
    linkBoth();
    network.block(one, two);
    network.advance(SETTLE_TIME);
    assertTrue(network.takeEvents(one).stream().allMatch(new PeerEvent.Down(two.id())::equals));
    assertTrue(network.takeEvents(two).stream().allMatch(new PeerEvent.Down(one.id())::equals));
    assertTrue(first.findOrCreatePeer(two.id()).preferred().isEmpty());
    assertTrue(second.findOrCreatePeer(one.id()).preferred().isEmpty());
    network.unblockAll();
    network.advance(Duration.ofSeconds(2));
    assertEquals(network.takeEvents(one).getLast(), new PeerEvent.Up(two));
    assertEquals(network.takeEvents(two).getLast(), new PeerEvent.Up(one));
  }

  @Test
  public void quickReconnectCausesNoDownEvent() {
    linkBoth();
    network.closeAllLinks();
    network.advance(SETTLE_TIME);
    assertTrue(network.takeEvents(one).stream().allMatch(new PeerEvent.Up(two)::equals));
  }

  @Test
  public void unusedOnDemandLinkIsReleased() {
    first.connect(two);
    network.advance(Duration.ofSeconds(1));
    assertEquals(network.takeEvents(one), List.of(new PeerEvent.Up(two)));
    network.advance(FakeNetwork.OPTIONS.onDemandTime().plusSeconds(5));
    assertEquals(network.takeEvents(one), List.of(new PeerEvent.Released(two.id())));
    assertEquals(
        network.takeEvents(two), List.of(new PeerEvent.Up(one), new PeerEvent.Released(one.id())));
  }

  @Test
  public void replacementAtSameAddressIsUpAndOldVmIsDown() {
    VmEntry oldVm = LinkFixture.entry("old", 7002);
    network.replaceVm(oldVm, two);
    first.setPersistentPeers(Set.of(oldVm));
    network.advance(Duration.ofMillis(15));
    assertEquals(
        network.takeEvents(one), List.of(new PeerEvent.Down(oldVm.id()), new PeerEvent.Up(two)));
  }

  @Test
  public void vmThatAnnouncedShutdownIsNotDialedAgain() {
    linkBoth();
    first.messageReceived(two.id(), new LinkMessage.ShutdownNotice());
    network.closeAllLinks();
    network.advance(SETTLE_TIME);
    List<PeerEvent> events = network.takeEvents(one);
    assertEquals(events.getFirst(), new PeerEvent.Down(two.id()));
  }
}
