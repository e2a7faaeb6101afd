package org.radishpost.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.radishpost.lib.Digest;
import org.testng.annotations.Test;

/** Links between two ends over loopback. */
public class TcpLinksTest {
  @Test
  public void carriesTellsAndAsksBothWays() {
    try (LinkFixture one = new LinkFixture("one");
        LinkFixture two = new LinkFixture("two")) {
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
    try (LinkFixture one = new LinkFixture("one");
        LinkFixture two = new LinkFixture("two")) {
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
}
