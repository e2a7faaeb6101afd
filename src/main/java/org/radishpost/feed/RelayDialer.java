package org.radishpost.feed;

import org.radishpost.lib.Endpoint;

/** Opens connections to relays. */
public interface RelayDialer {
  /**
   * Opens a connection.
   *
   * @param relay where the relay listens
   * @param listener told of what comes, on the thread of the follower
   * @return the connection, which may not be open yet
   */
  FeedLink dial(Endpoint relay, Listener listener);

  /** Told of what comes on a connection. */
  interface Listener {
    /** Takes a message. */
    void received(FeedMessage message);

    /** Takes note that the connection has ended or never came about. */
    void closed();
  }
}
