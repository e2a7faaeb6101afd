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

/** Links between two ends over loopback. */
public class TcpLinksTest {
  @Test
  public void carriesTellsAndAsksBothWays() {
    try (LinkFixture one = LinkFixture.patient("one");
        LinkFixture two = LinkFixture.patient("two")) {
      one.keep(two.entry);
      one.await(new PeerEvent.Up(two.entry));
      two.await(new PeerEvent.Up(one.entry));
      assertTrue(one.links.tell(two.id(), new LinkMessage.CallTaken(3)));
      two.await(new PeerEvent.Told(one.id(), new LinkMessage.CallTaken(3)));
      LinkMessage ask = new LinkMessage.ConfigWanted(5);
      assertEquals(two.links.ask(one.id(), ask, LinkFixture.LIMIT).block(), ask);
      one.await(new PeerEvent.Told(two.id(), new LinkMessage.Heartbeat(7)));
    }
  }

  @Test
  public void provesTextsOfBothEndsOnce() {
    try (LinkFixture one = LinkFixture.patient("one");
        LinkFixture two = LinkFixture.patient("two")) {
      one.keep(two.entry);
      one.await(new PeerEvent.Up(two.entry));
      two.await(new PeerEvent.Up(one.entry));
      LinkSession sender = one.links.session(two.id()).orElseThrow();
      LinkSession receiver = two.links.session(one.id(), sender.id()).orElseThrow();
      long number = sender.nextSequence();
      Digest proof = sender.prove(number, "text");
      assertFalse(receiver.accept(number, "other", proof));
      assertFalse(sender.accept(number, "text", proof), "a proof counts at the other end only");
      assertTrue(receiver.accept(number, "text", proof));
      assertFalse(receiver.accept(number, "text", proof), "replayed");
    }
  }

  @Test
  public void linkThatGoesSilentIsReplacedByNewConnection() throws Exception {
    try (LinkFixture one = new LinkFixture("one");
        LinkFixture two = new LinkFixture("two");
        FaultyLink link = new FaultyLink(two.entry.link())) {
      one.keep(LinkFixture.entry(two.id().value(), link.address().port()));
      one.await(new PeerEvent.Up(two.entry));
      final String lost = one.links.session(two.id()).orElseThrow().id();
      link.setFault(FaultyLink.Fault.DROP_OPEN, true);
      one.await(new PeerEvent.Down(two.id()));
      one.seen.filter(new PeerEvent.Up(two.entry)::equals).skip(1).blockFirst(LinkFixture.LIMIT);
      assertFalse(one.links.session(two.id()).filter(s -> s.id().equals(lost)).isPresent());
      LinkMessage ask = new LinkMessage.ConfigWanted(5);
      assertEquals(
          one.links.ask(two.id(), ask, LinkFixture.LIMIT).retry().block(LinkFixture.LIMIT), ask);
    }
  }

  @Test
  public void peerWithAnotherKeyIsDownAndLearnsNothing() throws Exception {
    byte[] otherKey = "another key".getBytes(StandardCharsets.UTF_8);
    try (LinkFixture one = new LinkFixture("one");
        LinkFixture two = new LinkFixture("two", otherKey, LinkOptions.DEFAULT);
        RawPeer mute = new RawPeer(one.entry);
        RawPeer early = new RawPeer(one.entry)) {
      early.write(Frame.of(Frame.Kind.ASK, new LinkMessage.Farewell(), 1).encode());
      two.keep(one.entry);
      two.await(new PeerEvent.Down(one.id()));
      assertEquals(mute.bytesUntilClosed(), 0, "a peer that says nothing is closed");
      assertEquals(early.bytesUntilClosed(), 0, "no message counts before the proof");
    }
  }

  @Test
  public void unknownMessageIsRefusedAndTheLinkStands() throws Exception {
    try (LinkFixture one = LinkFixture.patient("one");
        RawPeer raw = new RawPeer(one.entry)) {
      raw.prove(LinkFixture.KEY, LinkFixture.entry("raw", 1));
      byte[] body = {1};
      raw.send(new Frame(Frame.Kind.TELL, 999, 1, 0, body));
      raw.send(new Frame(Frame.Kind.ASK, MessageType.CALL_TAKEN.number, 9, 4, body));
      Frame refusal = raw.receive();
      assertEquals(refusal, new Frame(Frame.Kind.REFUSED, 0, 0, 4, refusal.body()));
      raw.send(Frame.of(Frame.Kind.ASK, new LinkMessage.CallTaken(8), 5));
      assertEquals(raw.receive().message().orElseThrow(), new LinkMessage.CallTaken(8));
      assertEquals(one.links.traffic().getFirst().unsupported(), 2);
    }
  }

  @Test
  public void oversizedCorruptOrRepeatedFrameClosesTheLink() throws Exception {
    byte[] body = {1};
    try (LinkFixture one = LinkFixture.patient("one")) {
      try (RawPeer raw = new RawPeer(one.entry)) {
        raw.writeLength(Frame.MAX_UNPROVED_BYTES + 1);
        assertEquals(raw.bytesUntilClosed(), 0);
      }
      try (RawPeer raw = new RawPeer(one.entry)) {
        raw.prove(LinkFixture.KEY, LinkFixture.entry("large", 1));
        raw.writeLength(Frame.MAX_BYTES + 1);
        raw.bytesUntilClosed();
      }
      try (RawPeer raw = new RawPeer(one.entry)) {
        raw.prove(LinkFixture.KEY, LinkFixture.entry("corrupt", 1));
        raw.send(new Frame(Frame.Kind.TELL, MessageType.POOL_VIEWS.number, 1, 0, body));
        raw.bytesUntilClosed();
      }
      try (RawPeer raw = new RawPeer(one.entry)) {
        raw.prove(LinkFixture.KEY, LinkFixture.entry("unsealed", 1));
        raw.write(Frame.of(Frame.Kind.TELL, new LinkMessage.CallTaken(8), 0).encode());
        raw.bytesUntilClosed();
      }
      for (String id : new String[] {"large", "corrupt", "unsealed"}) {
        one.await(new PeerEvent.Up(LinkFixture.entry(id, 1)));
      }
    }
  }

  @Test
  public void stopSaysFarewellFirst() {
    try (LinkFixture one = LinkFixture.patient("one")) {
      try (LinkFixture two = LinkFixture.patient("two")) {
        two.keep(one.entry);
        one.await(new PeerEvent.Up(two.entry));
      }
      List<PeerEvent> last =
          one.seen
              .takeUntil(event -> event instanceof PeerEvent.Down)
              .filter(event -> !(event instanceof PeerEvent.Up))
              .filter(event -> !event.equals(heartbeat(event.peer())))
              .collectList()
              .block(LinkFixture.LIMIT);
      VmId two = last.getFirst().peer();
      assertEquals(
          last,
          List.of(new PeerEvent.Told(two, new LinkMessage.Farewell()), new PeerEvent.Down(two)));
    }
  }

  private static PeerEvent heartbeat(VmId peer) {
    return new PeerEvent.Told(peer, new LinkMessage.Heartbeat(7));
  }
}
