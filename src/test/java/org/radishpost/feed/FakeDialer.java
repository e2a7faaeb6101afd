package org.radishpost.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpost.lib.Endpoint;

/** A dialer whose connections record sent messages; tests call the listeners as a relay would. */
final class FakeDialer implements RelayDialer {
  final Map<Endpoint, FakeLink> openLinks = new HashMap<>();
  int dialCount;

  @Override
  public FeedLink dial(Endpoint relay, Listener listener) {
    dialCount++;
    FakeLink link = new FakeLink(relay, listener);
    openLinks.put(relay, link);
    return link;
  }

  /** A connection that records the messages sent on it. */
  final class FakeLink implements FeedLink {
    final List<FeedMessage> sent = new ArrayList<>();
    final Listener listener;
    private final Endpoint relay;

    private FakeLink(Endpoint relay, Listener listener) {
      this.relay = relay;
      this.listener = listener;
    }

    @Override
    public void send(FeedMessage message) {
      sent.add(message);
    }

    @Override
    public void close() {
      openLinks.remove(relay, this);
    }
  }
}
