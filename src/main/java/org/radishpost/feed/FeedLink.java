package org.radishpost.feed;

/** One end of a connection between a relay and a follower. */
public interface FeedLink {
  /** Sends a message, or closes the connection if its other end doesn't keep up. */
  void send(FeedMessage message);

  /** Closes the connection. */
  void close();
}
