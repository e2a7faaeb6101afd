package org.radishpost.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What was observed of one attempt to send a request: its connection, how the response was framed,
 * what ended it, and which responses to other requests were dropped while it waited.
 *
 * <p>Written by the thread of the connection; any thread may read it.
 */
public final class Exchange {
  private static final AttributeKey<Exchange> KEY = AttributeKey.valueOf("radishpost-exchange");
  private static final int MAX_SKIPPED_IDS = 4;
  private static final int MAX_ID_CHARS = 64;

  private volatile String connection = "none";
  private volatile ResponseFraming framing = ResponseFraming.NONE;
  private volatile ResponseEnd end = ResponseEnd.NONE;
  private final List<String> skippedIds = new CopyOnWriteArrayList<>();

  /** Returns the short ID of the connection, or {@code none} if the request was not sent. */
  public String connection() {
    return connection;
  }

  /** Returns how the response is framed. */
  public ResponseFraming framing() {
    return framing;
  }

  /** Returns what ended the response. */
  public ResponseEnd end() {
    return end;
  }

  /**
   * Returns the request IDs of the responses that were dropped, {@code none} for one without an ID.
   * Of many, only the first {@value #MAX_SKIPPED_IDS} are kept.
   */
  public List<String> skippedIds() {
    return List.copyOf(skippedIds);
  }

  /**
   * Returns whether responses were dropped, or the connection ended the response otherwise than its
   * peer would after a whole one.
   */
  public boolean isNotable() {
    return !skippedIds.isEmpty()
        || end == ResponseEnd.PEER_CLOSED_EARLY
        || end == ResponseEnd.PEER_RESET_AFTER_END
        || end == ResponseEnd.CLOSED_HERE
        || end == ResponseEnd.CONNECTION_FAILED
        || isSpoilt();
  }

  /** Makes this the exchange to which the events of the connection belong from now on. */
  void start(Channel channel) {
    connection = channel.id().asShortText();
    channel.attr(KEY).set(this);
  }

  /** Returns the current exchange of a connection. */
  static Optional<Exchange> of(Channel channel) {
    return Optional.ofNullable(channel.attr(KEY).get());
  }

  void recordFraming(ResponseFraming newFraming) {
    framing = newFraming;
  }

  /** Records what ended the response; bytes that spoil it hide what comes later. */
  void recordEnd(ResponseEnd newEnd) {
    if (!isSpoilt()) {
      end = newEnd;
    }
  }

  private boolean isSpoilt() {
    return end == ResponseEnd.SECOND_RESPONSE || end == ResponseEnd.MALFORMED;
  }

  void recordSkipped(Optional<String> id) {
    if (skippedIds.size() < MAX_SKIPPED_IDS) {
      String text = id.orElse("none");
      skippedIds.add(text.substring(0, Math.min(MAX_ID_CHARS, text.length())));
    }
  }
}
