package org.radishpost.feed;

import org.radishpost.lib.Endpoint;

/** Opens connections to relays. */
public interface RelayDialer {
  /**
   * Opens a connection.
   *
   * @param relay the address of the relay
   * @param listener receives messages and the close notification, on the thread of the follower
   * @return the connection, which may not be established yet
   */
  FeedLink dial(Endpoint relay, Listener listener);

  /** Receives the messages and the close notification of a connection. */
  interface Listener {
    /** Handles a message from the peer. */
    void received(FeedMessage message);

    /** Handles the end of the connection, or a failure to establish it. */
    void closed();
  }
}
