package org.radishpost.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;
import org.radishpost.soak.FaultyLink;
import org.testng.annotations.Test;

/** Links between two VMs, or a VM and a raw peer, on the loopback interface. */
public class TcpLinksTest {
  @Test
  public void carriesNotificationsAndRequestsInBothDirections() {
    try (LinkFixture one = LinkFixture.withoutHeartbeatTimeout("one");
        LinkFixture two = LinkFixture.withoutHeartbeatTimeout("two")) {
      one.setPersistentPeers(two.entry);
      one.await(new PeerEvent.Up(two.entry));
      two.await(new PeerEvent.Up(one.entry));
      assertTrue(one.links.sendMessage(two.id(), new LinkMessage.TargetAccepted(3)));
      two.await(new PeerEvent.MessageReceived(one.id(), new LinkMessage.TargetAccepted(3)));
      LinkMessage request = new LinkMessage.FetchConfigRecords(5);
      assertEquals(two.links.request(one.id(), request, LinkFixture.TIMEOUT).block(), request);
      one.await(new PeerEvent.MessageReceived(two.id(), new LinkMessage.Heartbeat(7)));
    }
  }

  @Test
  public void callMacIsAcceptedOnceAndOnlyByThePeer() {
    try (LinkFixture one = LinkFixture.withoutHeartbeatTimeout("one");
        LinkFixture two = LinkFixture.withoutHeartbeatTimeout("two")) {
      one.setPersistentPeers(two.entry);
      one.await(new PeerEvent.Up(two.entry));
      two.await(new PeerEvent.Up(one.entry));
      LinkSession sender = one.links.session(two.id()).orElseThrow();
      LinkSession receiver = two.links.session(one.id(), sender.id()).orElseThrow();
      long sequence = sender.nextSequence();
      Digest mac = sender.mac(sequence, "text");
      assertFalse(receiver.verify(sequence, "other", mac));
      assertFalse(sender.verify(sequence, "text", mac), "a MAC is valid only at the other end");
      assertTrue(receiver.verify(sequence, "text", mac));
      assertFalse(receiver.verify(sequence, "text", mac), "replayed");
    }
  }

  @Test
  public void halfOpenLinkIsReplaced() throws Exception {
    try (LinkFixture one = new LinkFixture("one");
        LinkFixture two = new LinkFixture("two");
        FaultyLink link = new FaultyLink(two.entry.link())) {
      one.setPersistentPeers(LinkFixture.entry(two.id().value(), link.address().port()));
      one.await(new PeerEvent.Up(two.entry));
      final String lostSessionId = one.links.session(two.id()).orElseThrow().id();
      link.setFault(FaultyLink.Fault.DROP_OPEN, true);
      one.await(new PeerEvent.Down(two.id()));
      one.receivedEvents
          .filter(new PeerEvent.Up(two.entry)::equals)
          .skip(1)
          .blockFirst(LinkFixture.TIMEOUT);
      assertFalse(
          one.links.session(two.id()).filter(s -> s.id().equals(lostSessionId)).isPresent());
      LinkMessage request = new LinkMessage.FetchConfigRecords(5);
      assertEquals(
          one.links
              .request(two.id(), request, LinkFixture.TIMEOUT)
              .retry()
              .block(LinkFixture.TIMEOUT),
          request);
    }
  }

  @Test
  public void peerWithWrongKeyIsDisconnectedAndLearnsNothing() throws Exception {
    byte[] otherKey = "another key".getBytes(StandardCharsets.UTF_8);
    try (LinkFixture one = new LinkFixture("one");
        LinkFixture two = new LinkFixture("two", otherKey, LinkOptions.DEFAULT);
        RawPeer silentPeer = new RawPeer(one.entry);
        RawPeer unauthenticatedPeer = new RawPeer(one.entry)) {
      unauthenticatedPeer.write(
          Frame.of(Frame.Kind.REQUEST, new LinkMessage.ShutdownNotice(), 1).encode());
      two.setPersistentPeers(one.entry);
      two.await(new PeerEvent.Down(one.id()));
      assertEquals(silentPeer.bytesUntilClosed(), 0, "a peer that sends nothing is disconnected");
      assertEquals(
          unauthenticatedPeer.bytesUntilClosed(),
          0,
          "messages before authentication get no response");
    }
  }

  @Test
  public void unknownMessageIsRejectedAndLinkStaysOpen() throws Exception {
    try (LinkFixture one = LinkFixture.withoutHeartbeatTimeout("one");
        RawPeer raw = new RawPeer(one.entry)) {
      raw.authenticate(LinkFixture.KEY, LinkFixture.entry("raw", 1));
      byte[] body = {1};
      raw.send(new Frame(Frame.Kind.NOTIFICATION, 999, 1, 0, body));
      raw.send(new Frame(Frame.Kind.REQUEST, MessageType.TARGET_ACCEPTED.number, 9, 4, body));
      Frame error = raw.receive();
      assertEquals(error, new Frame(Frame.Kind.ERROR, 0, 0, 4, error.body()));
      raw.send(Frame.of(Frame.Kind.REQUEST, new LinkMessage.TargetAccepted(8), 5));
      assertEquals(raw.receive().message().orElseThrow(), new LinkMessage.TargetAccepted(8));
      assertEquals(one.links.traffic().getFirst().unsupportedFrames(), 2);
    }
  }

  @Test
  public void oversizedCorruptOrUnauthenticatedFrameClosesTheLink() throws Exception {
    byte[] body = {1};
    try (LinkFixture one = LinkFixture.withoutHeartbeatTimeout("one")) {
      try (RawPeer raw = new RawPeer(one.entry)) {
        raw.writeLength(Frame.MAX_UNAUTHENTICATED_BYTES + 1);
        assertEquals(raw.bytesUntilClosed(), 0);
      }
      try (RawPeer raw = new RawPeer(one.entry)) {
        raw.authenticate(LinkFixture.KEY, LinkFixture.entry("large", 1));
        raw.writeLength(Frame.MAX_BYTES + 1);
        raw.bytesUntilClosed();
      }
      try (RawPeer raw = new RawPeer(one.entry)) {
        raw.authenticate(LinkFixture.KEY, LinkFixture.entry("corrupt", 1));
        raw.send(new Frame(Frame.Kind.NOTIFICATION, MessageType.POOL_VIEWS.number, 1, 0, body));
        raw.bytesUntilClosed();
      }
      try (RawPeer raw = new RawPeer(one.entry)) {
        raw.authenticate(LinkFixture.KEY, LinkFixture.entry("unsealed", 1));
        raw.write(Frame.of(Frame.Kind.NOTIFICATION, new LinkMessage.TargetAccepted(8), 0).encode());
        raw.bytesUntilClosed();
      }
      for (String id : new String[] {"large", "corrupt", "unsealed"}) {
        one.await(new PeerEvent.Up(LinkFixture.entry(id, 1)));
      }
    }
  }

  @Test
  public void stopAnnouncesShutdownFirst() {
    try (LinkFixture one = LinkFixture.withoutHeartbeatTimeout("one")) {
      try (LinkFixture two = LinkFixture.withoutHeartbeatTimeout("two")) {
        two.setPersistentPeers(one.entry);
        one.await(new PeerEvent.Up(two.entry));
      }
      List<PeerEvent> last =
          one.receivedEvents
              .takeUntil(event -> event instanceof PeerEvent.Down)
              .filter(event -> !(event instanceof PeerEvent.Up))
              .filter(event -> !event.equals(heartbeat(event.peer())))
              .collectList()
              .block(LinkFixture.TIMEOUT);
      VmId two = last.getFirst().peer();
      assertEquals(
          last,
          List.of(
              new PeerEvent.MessageReceived(two, new LinkMessage.ShutdownNotice()),
              new PeerEvent.Down(two)));
    }
  }

  private static PeerEvent heartbeat(VmId peer) {
    return new PeerEvent.MessageReceived(peer, new LinkMessage.Heartbeat(7));
  }
}
