package org.radishpost.feed;

/** One end of a connection between a relay and a follower. */
public interface FeedLink {
  /** Sends a message; closes the connection instead if the peer reads too slowly. */
  void send(FeedMessage message);

  /** Closes the connection. */
  void close();
}
