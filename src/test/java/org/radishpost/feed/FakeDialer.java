package org.radishpost.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpost.lib.Endpoint;

/** Connections to relays that only note what is sent; tests answer in the relays' place. */
final class FakeDialer implements RelayDialer {
  final Map<Endpoint, Dialed> open = new HashMap<>();
  int dials;

  @Override
  public FeedLink dial(Endpoint relay, Listener listener) {
    dials++;
    Dialed dialed = new Dialed(relay, listener);
    open.put(relay, dialed);
    return dialed;
  }

  /** One connection. */
  final class Dialed implements FeedLink {
    final List<FeedMessage> sent = new ArrayList<>();
    final Listener listener;
    private final Endpoint relay;

    private Dialed(Endpoint relay, Listener listener) {
      this.relay = relay;
      this.listener = listener;
    }

    @Override
    public void send(FeedMessage message) {
      sent.add(message);
    }

    @Override
    public void close() {
      open.remove(relay, this);
    }
  }
}
